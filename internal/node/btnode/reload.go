package btnode

import "bramleytack/btevent"

// Reload takes settings that were read again. Addresses stay as they are until
// the next start; invalid settings change nothing.
func (n *Node) Reload(s Settings, err error) {
	line := n.log.Event(btevent.SettingsReloaded)
	if err != nil {
		line.Err(err).Send()
		return
	}
	line.Bool("restartNeeded", s.Entry != n.settings.Entry || s.Peer != n.settings.Peer || s.Store != n.settings.Store).Send()
}
