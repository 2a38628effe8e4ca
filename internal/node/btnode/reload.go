package btnode

import "bramleytack/btevent"

// Reload logs that the settings were read again with the result s or err, and whether
// a restart is needed for changed addresses. It applies nothing: all settings stay as
// they are until the next start.
func (n *Node) Reload(s Settings, err error) {
	line := n.log.Event(btevent.SettingsReloaded)
	if err != nil {
		line.Err(err).Send()
		return
	}
	line.Bool("restartNeeded", s.Entry != n.settings.Entry || s.Peer != n.settings.Peer || s.Store != n.settings.Store).Send()
}
