package handover

import (
	"fmt"
	"unsafe"

	"golang.org/x/sys/unix"
)

const idsName = "ids" // ids of accepted requests; mapped by all processes

// MapIDs maps memory of the given number of words that all processes of the proxy share, for the ids of requests.
// It stays mapped until the process ends. It returns nil without a path.
func (d *Dir) MapIDs(words int) ([]uint64, error) {
	if !d.Persistent() {
		return nil, nil
	}
	f, err := d.open(idsName)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	size := words * int(unsafe.Sizeof(uint64(0)))
	// Without room on the file system a write to the mapped memory would end the process.
	if err := unix.Fallocate(int(f.Fd()), 0, 0, int64(size)); err != nil {
		return nil, fmt.Errorf("handover: allocate %s: %w", f.Name(), err)
	}
	memory, err := unix.Mmap(int(f.Fd()), 0, size, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("handover: map %s: %w", f.Name(), err)
	}
	return unsafe.Slice((*uint64)(unsafe.Pointer(unsafe.SliceData(memory))), words), nil // a mapping is aligned to pages
}
