package node

import (
	"context"
	"log/slog"
	"runtime"
	"runtime/pprof"
	"time"

	"badgerbay/internal/connlimit"
)

// loadLogInterval is the interval at which the load of the process is logged, at debug level.
const loadLogInterval = 5 * time.Second

// logLoad periodically logs the connections, threads, goroutines and memory that the process uses, until ctx ends.
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
