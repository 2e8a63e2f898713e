package fleet

import (
	"badgerbay/internal/clock"
	"badgerbay/internal/ident"
)

// imageCache estimates which images are cached on a machine, because workers do not report them. It evicts the least
// recently used image, as workers do.
type imageCache map[ident.Image]cachedImage

type cachedImage struct {
	sizeGB   float64
	lastUsed clock.Instant
}

// use records that a task with the image runs. A capacity of 0 GB means that the capacity is unknown, and evicts
// nothing. The image in use is kept whatever its size.
func (c imageCache) use(now clock.Instant, image ident.Image, sizeGB, capacityGB float64) {
	c[image] = cachedImage{sizeGB: sizeGB, lastUsed: now}
	if capacityGB <= 0 {
		return
	}
	for c.usageGB() > capacityGB && len(c) > 1 {
		delete(c, c.leastRecentlyUsed())
	}
}

func (c imageCache) usageGB() float64 {
	sum := 0.0
	for _, image := range c {
		sum += image.sizeGB
	}
	return sum
}

// leastRecentlyUsed returns the image with the oldest use, or the first by name if several have the same.
func (c imageCache) leastRecentlyUsed() ident.Image {
	var oldest ident.Image
	first := true
	for name, image := range c {
		if first || image.lastUsed < c[oldest].lastUsed || image.lastUsed == c[oldest].lastUsed && name < oldest {
			oldest, first = name, false
		}
	}
	return oldest
}
