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

// notePath is where the note of the running process is.
func (n *Node) notePath() string { return filepath.Join(n.cfg.TempDir, n.upgrade.identity.File()) }

// readNote finds the process before this one. A file of somebody else's is none.
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
		return handover.Note{}, fmt.Errorf("%w: somebody else's", handover.ErrNote)
	}
	data, err := io.ReadAll(io.LimitReader(f, 4<<10))
	if err != nil {
		return handover.Note{}, err
	}
	return handover.ParseNote(data, n.upgrade.identity)
}

// writeNote leaves the note of this process, whole or not at all.
func (n *Node) writeNote() {
	note := handover.Note{Who: n.upgrade.identity, Admin: n.AdminAddr(), Token: n.upgrade.token}
	err := func() error {
		f, err := os.CreateTemp(n.cfg.TempDir, "madderdrum-*.tmp") // 0600
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
		n.log.Warn("no upgrade under load from this process: can't leave a note for the next one", "err", err)
	}
}

// removeNote takes the note of this process away; one that another has left stays.
func (n *Node) removeNote() {
	if note, err := n.readNote(); err == nil && note.Token == n.upgrade.token {
		os.Remove(n.notePath())
	}
}
