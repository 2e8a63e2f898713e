package node

import (
	"context"
	"log/slog"
	"runtime"
	"runtime/pprof"
	"time"

	"badgerbay/internal/connlimit"
)

// loadLogInterval is how often the load of the process is logged, at debug.
const loadLogInterval = 5 * time.Second

// logLoad logs what the process holds of what its machine grants, until ctx ends.
func (n *Node) logLoad(ctx context.Context, limited *connlimit.Listener) {
	for n.log.Enabled(ctx, slog.LevelDebug) && sleep(ctx, loadLogInterval) {
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		stats := limited.Stats()
		n.log.Debug("load measured", "connections", stats.Open, "workers", stats.Workers, "users", stats.Users,
			"evicted", stats.Evicted, "rejected", stats.Rejected, "threads", pprof.Lookup("threadcreate").Count(),
			"goroutines", runtime.NumGoroutine(), "heap_mb", mem.HeapInuse>>20, "sys_mb", mem.Sys>>20)
	}
}
