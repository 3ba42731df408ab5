package edge

// Parts of a process's limits.
const (
	// defaultMemoryBytes and defaultMaxFiles are the limits of a process whose settings
	// name none.
	defaultMemoryBytes = 256 << 20
	defaultMaxFiles    = 4096
	// reservedFiles is the number of descriptors that are no sockets.
	reservedFiles = 200
	// callerFilesPermille is the part of the sockets that callers may use, in thousandths.
	// The store, the peers and the executors get the others.
	callerFilesPermille = 400
	// lookupFilesDivisor times the reads of the store for callers is the number of sockets,
	// if that gives no more than maxLookups.
	lookupFilesDivisor = 10
	maxLookups         = 64
	// connMemoryDivisor times the memory of all connections of callers is the process's.
	connMemoryDivisor = 4
	// connBytes is the memory that a connection may use without a reservation.
	connBytes = 64 << 10
	// requestMemoryDivisor times the memory of all requests beyond that is the process's.
	requestMemoryDivisor = 8
	// jobMemoryPermille is the part of the memory that the owner's jobs may take, in
	// thousandths.
	jobMemoryPermille = 450
	// maxReadyConns limits the connections to the address of the readiness check.
	maxReadyConns = 64
)

// processLimits divides the memory and the descriptors of a process.
type processLimits struct {
	// callerConns is the number of connections of callers.
	callerConns int
	// lookups is the number of reads of the store for callers' requests at once.
	lookups int
	// requestBytes is the memory of all requests beyond what each connection may use.
	requestBytes int64
	// jobBytes is the memory of all jobs while this node is the owner.
	jobBytes int64
}

// newProcessLimits returns the limits of a process that may use the given memory and number
// of descriptors, zero if they are not known.
func newProcessLimits(memoryBytes int64, maxFiles int) processLimits {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryBytes
	}
	if maxFiles <= reservedFiles {
		maxFiles = defaultMaxFiles
	}
	return processLimits{
		lookups:      min(max((maxFiles-reservedFiles)/lookupFilesDivisor, 1), maxLookups),
		requestBytes: memoryBytes / requestMemoryDivisor,
		jobBytes:     memoryBytes / 1000 * jobMemoryPermille,
		callerConns:  int(min(int64(maxFiles-reservedFiles)*callerFilesPermille/1000, memoryBytes/connMemoryDivisor/connBytes)),
	}
}
