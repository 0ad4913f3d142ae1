package durable

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"syscall"
)

// disk is the file system a folder is stored on: the operating system's, or a simulated one that
// fails as a test demands.
type disk interface {
	MkdirAll(dir string) error
	Lock(path string) (io.Closer, error) // ErrInUse if another process holds it
	// Open opens a file for reading. Create opens one for writing; it truncates an existing file,
	// or fails on one if fresh is set. OpenAppend opens an existing file for appending.
	Open(path string) (diskFile, error)
	Create(path string, fresh bool) (diskFile, error)
	OpenAppend(path string) (diskFile, error)
	Rename(from, to string) error
	Remove(path string) error
	List(dir string) ([]string, error)
	SyncDir(dir string) error
}

// diskFile is an open file of a disk. A copy of the file has a different inode number.
type diskFile interface {
	io.ReadWriteCloser
	Sync() error
	Inode() (uint64, error)
}

// systemDisk implements disk with the operating system's file calls.
type systemDisk struct{}

type systemFile struct{ *os.File }

func (f systemFile) Inode() (uint64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	if s, ok := info.Sys().(*syscall.Stat_t); ok {
		return s.Ino, nil
	}
	return 0, nil
}

func wrapFile(f *os.File, err error) (diskFile, error) {
	if err != nil {
		return nil, err
	}
	return systemFile{f}, nil
}

func (systemDisk) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

func (systemDisk) Lock(path string) (io.Closer, error) {
	lock, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrInUse
		}
		return nil, &fs.PathError{Op: "lock", Path: path, Err: err}
	}
	return lock, nil
}

func (systemDisk) Open(path string) (diskFile, error) { return wrapFile(os.Open(path)) }

func (systemDisk) Create(path string, fresh bool) (diskFile, error) {
	flag := os.O_TRUNC
	if fresh {
		flag = os.O_EXCL
	}
	return wrapFile(os.OpenFile(path, os.O_WRONLY|os.O_CREATE|flag, 0o600))
}

func (systemDisk) OpenAppend(path string) (diskFile, error) {
	return wrapFile(os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0))
}

func (systemDisk) Rename(from, to string) error { return os.Rename(from, to) }
func (systemDisk) Remove(path string) error     { return os.Remove(path) }

func (systemDisk) List(dir string) (names []string, err error) {
	entries, err := os.ReadDir(dir)
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

func (systemDisk) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
