// Package vfs is the seam between the stored state and the file system: the few operations on the files of one
// directory that the state needs. Tests put a crash model in its place, see package faultfs.
package vfs

import (
	"errors"
	"os"
)

// TempSuffix ends the name of a file that is still being written. One that a crash leaves behind holds nothing.
const TempSuffix = ".new"

// FS is one directory. Names have no path.
type FS interface {
	Create(name string) (File, error) // fails with os.ErrExist if the file exists
	Append(name string) (File, error) // opens an existing file to be continued at its end
	Read(name string) ([]byte, error)
	List() ([]string, error)
	Rename(from, to string) error // replaces an existing file atomically
	Remove(name string) error
	Sync() error // returns when all files created, renamed and removed before are so on disk
}

// File is a file that is written.
type File interface {
	Write(p []byte) (int, error)
	Sync() error // returns when all that was written before is on disk
	Truncate(size int64) error
	Close() error
}

// WriteFileAtomic replaces a file, or creates it: after a crash it holds the old data or the new. It is not a
// library's, which would write past FS, where the crash model cannot see it.
func WriteFileAtomic(fs FS, name string, data []byte) error {
	temp := name + TempSuffix
	if err := fs.Remove(temp); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	file, err := fs.Create(temp)
	if err != nil {
		return err
	}
	err = writeAndClose(file, data)
	if err == nil {
		err = fs.Rename(temp, name)
	}
	if err != nil {
		_ = fs.Remove(temp) // the first error matters, and a file left behind is removed by the next try
		return err
	}
	return fs.Sync()
}

// writeAndClose writes a file and syncs it; it is closed in any case.
func writeAndClose(file File, data []byte) error {
	_, err := file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
