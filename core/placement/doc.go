// Package placement holds the plug-ins that choose the executor of a task.
package placement
