package config

import (
	"bytes"
	"io/fs"
	"time"
)

// Open opens the one file.
func (f oneFile) Open(name string) (fs.File, error) {
	if name != f.name {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &openFile{f, bytes.NewReader(f.data)}, nil
}

type openFile struct {
	info oneFile
	*bytes.Reader
}

func (f *openFile) Stat() (fs.FileInfo, error) { return f.info, nil }
func (f *openFile) Close() error               { return nil }

// A oneFile describes itself.

func (f oneFile) Name() string       { return f.name }
func (f oneFile) Size() int64        { return int64(len(f.data)) }
func (f oneFile) Mode() fs.FileMode  { return 0o444 }
func (f oneFile) ModTime() time.Time { return time.Time{} }
func (f oneFile) IsDir() bool        { return false }
func (f oneFile) Sys() any           { return nil }
