package main

// cases holds the cases by name. The last one belongs to no folder of the review: it plays random troubles, and showed no
// broken rule.
var cases = map[string]func(*scene) error{
	"ring-slots":   ringSlots,
	"lost-boot":    lostBoot,
	"large-report": largeReport,
	"soak":         soak,
}
