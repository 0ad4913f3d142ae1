package config

import (
	"bytes"
	"io/fs"
	"time"
)

// Open returns the file, or fs.ErrNotExist for any other name.
func (f singleFileFS) Open(name string) (fs.File, error) {
	if name != f.name {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &openFile{f, bytes.NewReader(f.data)}, nil
}

type openFile struct {
	info singleFileFS
	*bytes.Reader
}

func (f *openFile) Stat() (fs.FileInfo, error) { return f.info, nil }
func (f *openFile) Close() error               { return nil }

// The following methods make singleFileFS its own fs.FileInfo.

func (f singleFileFS) Name() string       { return f.name }
func (f singleFileFS) Size() int64        { return int64(len(f.data)) }
func (f singleFileFS) Mode() fs.FileMode  { return 0o444 }
func (f singleFileFS) ModTime() time.Time { return time.Time{} }
func (f singleFileFS) IsDir() bool        { return false }
func (f singleFileFS) Sys() any           { return nil }
