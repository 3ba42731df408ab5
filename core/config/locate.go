package config

import (
	"fmt"
	"regexp"
	"strconv"
)

// SourceFile is one file of a configuration that is split over several files.
type SourceFile struct {
	File     string
	Document Document
}

var listEntryPattern = regexp.MustCompile(`^([a-z_.]+)\[(\d+)\](.*)$`)

// LocateFindings replaces the paths of findings in the merged document with the
// file and the path in that file. The sources are in the order in which they were
// merged.
func LocateFindings(findings Findings, sources []SourceFile) {
	for i := range findings {
		findings[i].locate(sources)
	}
}

func (f *Finding) locate(sources []SourceFile) {
	match := listEntryPattern.FindStringSubmatch(f.Path)
	if match == nil {
		return
	}
	// The pattern matches only digits here.
	index, _ := strconv.Atoi(match[2])
	for _, source := range sources {
		length := source.Document.listLength(match[1])
		if index < length {
			f.File = source.File
			f.Path = fmt.Sprintf("%s[%d]%s", match[1], index, match[3])
			return
		}
		index -= length
	}
}

// listLength returns the length of the list at a path, zero for an unknown path.
func (d *Document) listLength(path string) int {
	switch path {
	case "register.data_centres":
		return len(d.Register.DataCentres)
	case "register.pools":
		return len(d.Register.Pools)
	case "register.queues":
		return len(d.Register.Queues)
	case "register.vms":
		return len(d.Register.VMs)
	case "register.teams":
		return len(d.Register.Teams)
	case "register.keys":
		return len(d.Register.Keys)
	case "rules.data_centres_out":
		return len(d.Rules.DataCentresOut)
	}
	return 0
}
