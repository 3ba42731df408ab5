// Package placement implements the plug-ins that select the executor of a task.
package placement
