package loopback

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"example.org/madderdrum/deploy"
)

// ServeText writes the configuration by which `madderdrum serve` runs a limiter that a
// run would start from a platform's file: deploy/bluebird.hcl with this run's limiters
// and boxes. The other limiters' addresses for clients are of no matter to it.
func ServeText(platformFile string, limiter int) (string, error) {
	data, err := os.ReadFile(platformFile)
	if err != nil {
		return "", fmt.Errorf("loopback: %w", err)
	}
	var c struct {
		Listen string
		Peers  []string
		Known  struct {
			Hosts []struct {
				Host, Dial, Site string
				Block            int
			}
		}
	}
	if err := json.Unmarshal(data, &c); err != nil {
		return "", fmt.Errorf("loopback: %s: %w", platformFile, err)
	}
	text := string(deploy.Bluebird)
	cut, rest := strings.Index(text, `limiter "n0"`), strings.Index(text, "rules {")
	if cut < 0 || rest < cut {
		return "", fmt.Errorf("loopback: deploy/bluebird.hcl has another layout")
	}
	var b strings.Builder
	b.WriteString(text[:cut])
	for i, peer := range c.Peers {
		listen := c.Listen
		if i != limiter {
			listen = fmt.Sprintf("127.0.0.1:%d", 1+i)
		}
		fmt.Fprintf(&b, "limiter \"n%d\" {\n room = %q\n listen = %q\n peer = %q\n}\n", i, []string{"room-a", "room-b"}[i%2], listen, peer)
	}
	for _, h := range c.Known.Hosts {
		fmt.Fprintf(&b, "box %q {\n room = %q\n pod = %d\n dial = %q\n cores = 2\n slots = 16\n queue = 40\n cold_from = \"25%%\"\n cold_for = \"12s\"\n}\n", h.Host, h.Site, h.Block, h.Dial)
	}
	b.WriteString(text[rest:])
	return b.String(), nil
}
