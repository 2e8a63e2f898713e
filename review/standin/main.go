// Command standin plays the cases of this review. It starts the controllers, which are processes of the
// project's own program, and stands in for the state service, the cloud, the workers, the users and their
// load balancer. Its exit status is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// maxDuration is the longest time that a case may take.
const maxDuration = 118 * time.Second

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	caseName := flag.String("case", "", "name of the case")
	command := flag.String("run", "", "the run command of the deploy file")
	record := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	keep := flag.Bool("keep", false, "whether the temporary folder is kept")
	flag.Parse()
	rec, err := newRecorder(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	status, err := play(*caseName, strings.Fields(*command), *trouble, *keep, rec)
	if err != nil {
		rec.verdictf("the case couldn't run: %v", err)
		status = failed
	}
	rec.close()
	os.Exit(status)
}

// play plays a case in a temporary folder, and ends all processes that it started.
func play(name string, command []string, trouble, keep bool, rec *recorder) (int, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return failed, err
	}
	if keep {
		fmt.Println("temporary folder:", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	if len(command) == 0 {
		return failed, fmt.Errorf("no run command given")
	}
	switch name {
	case "history":
		return playHistory(ctx, dir, command, trouble, rec)
	case "mistakes":
		return playMistakes(ctx, dir, command, trouble, rec)
	case "gang":
		return playGang(ctx, dir, command, trouble, rec)
	}
	return failed, fmt.Errorf("unknown case %q", name)
}
