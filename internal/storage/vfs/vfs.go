// Package vfs is the file system interface of the stored state: the operations on the files of one directory that the
// state needs. Tests replace it by a crash model, see package faultfs.
package vfs

import (
	"errors"
	"os"
)

// TempSuffix is the suffix of the name of a file that is still being written. If a crash leaves such a file behind, its
// contents are not used.
const TempSuffix = ".new"

// FS is one directory. File names have no path.
type FS interface {
	Create(name string) (File, error) // fails with os.ErrExist if the file exists
	Append(name string) (File, error) // opens an existing file for appending
	Read(name string) ([]byte, error)
	List() ([]string, error)
	Rename(from, to string) error // replaces an existing file atomically
	Remove(name string) error
	Sync() error // returns once earlier creations, renames and removals are on disk
}

// File is a file that is open for writing.
type File interface {
	Write(p []byte) (int, error)
	Sync() error // returns once all earlier writes are on disk
	Truncate(size int64) error
	Close() error
}

// WriteFileAtomic creates or replaces a file. After a crash, the file holds either the old data or the new data. No
// library is used for this, because it would bypass FS and therefore the crash model.
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
		_ = fs.Remove(temp) // only the first error is reported; the next call removes a file that is left behind
		return err
	}
	return fs.Sync()
}

// writeAndClose writes, syncs and closes a file. It closes the file after an error too.
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
