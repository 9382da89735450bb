package logic

import "time"

// mix distributes the bits of x; the result is the same at every proxy.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// unit maps x to a number between 0 and 1.
func unit(x uint64) float64 { return (float64(x>>11) + 0.5) / (1 << 53) }

// seconds converts s seconds to a Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
