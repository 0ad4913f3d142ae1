package node

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"example.org/madderdrum/handover"
)

// notePath returns the path of the running process's note file.
func (n *Node) notePath() string { return filepath.Join(n.cfg.TempDir, n.upgrade.identity.FileName()) }

// readNote reads the previous process's note file. A file owned by another user, or accessible to others, is
// rejected.
func (n *Node) readNote() (handover.Note, error) {
	f, err := os.OpenFile(n.notePath(), os.O_RDONLY|syscall.O_NOFOLLOW, 0)
	if err != nil {
		return handover.Note{}, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return handover.Note{}, err
	}
	if st, ok := info.Sys().(*syscall.Stat_t); !ok || int(st.Uid) != os.Getuid() || info.Mode().Perm()&0o077 != 0 {
		return handover.Note{}, fmt.Errorf("%w: wrong owner or permissions", handover.ErrUnusableNote)
	}
	data, err := io.ReadAll(io.LimitReader(f, 4<<10))
	if err != nil {
		return handover.Note{}, err
	}
	return handover.ParseNote(data, n.upgrade.identity)
}

// writeNote atomically writes the note file of this process.
func (n *Node) writeNote() {
	note := handover.Note{Who: n.upgrade.identity, Admin: n.AdminAddr(), Token: n.upgrade.token}
	err := func() error {
		f, err := os.CreateTemp(n.cfg.TempDir, "madderdrum-*.tmp") // mode 0600
		if err != nil {
			return err
		}
		_, err = f.Write(note.Encode())
		if err = errors.Join(err, f.Close()); err == nil {
			err = os.Rename(f.Name(), n.notePath())
		}
		if err != nil {
			os.Remove(f.Name())
		}
		return err
	}()
	if err != nil {
		n.log.Warn("can't write the note file: the next process can't take over from this one", "err", err)
	}
}

// removeNote removes the note file of this process; another process's file is kept.
func (n *Node) removeNote() {
	if note, err := n.readNote(); err == nil && note.Token == n.upgrade.token {
		os.Remove(n.notePath())
	}
}
