package commands

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/platform"
)

// TestHangupDuringStartEndsProcess guards against a SIGHUP that ends a process which still reads its
// settings (soak, seed 25).
func TestHangupDuringStartEndsProcess(t *testing.T) {
	binary, settings := filepath.Join(t.TempDir(), "jacinthwind"), filepath.Join(t.TempDir(), "settings.toml")
	out, err := exec.Command("go", "build", "-o", binary, "jacinthwind").CombinedOutput()
	require.NoError(t, err, "%s", out)
	require.NoError(t, syscall.Mkfifo(settings, 0o600))
	process := exec.Command(binary, "edge")
	process.Env = append(os.Environ(), platform.SettingsPathVariable+"="+settings)
	require.NoError(t, process.Start())
	ended := make(chan error, 1)
	go func() { ended <- process.Wait() }()
	// Opening the pipe for writing succeeds once the process reads its settings.
	var pipe *os.File
	require.Eventually(t, func() bool {
		pipe, err = os.OpenFile(settings, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err == nil
	}, 20*time.Second, 10*time.Millisecond)
	defer pipe.Close()
	require.NoError(t, process.Process.Signal(syscall.SIGHUP))
	select {
	case err := <-ended:
		t.Fatalf("the process ended: %v", err)
	case <-time.After(300 * time.Millisecond):
	}
	require.NoError(t, process.Process.Kill())
	<-ended
}

// TestMemoryLimitLeavesRoomForTheProgram checks the runtime's part of the memory of a process.
func TestMemoryLimitLeavesRoomForTheProgram(t *testing.T) {
	for _, mb := range []int64{16, 96, 284, 4096} {
		limit := memoryLimit(mb << 20)
		require.GreaterOrEqual(t, limit, mb<<20/2)
		require.Less(t, limit, mb<<20*9/10)
	}
}
