package proxy

import (
	"fmt"
	"strings"

	"linenloom/internal/identity"
	"linenloom/internal/resp"
)

// readCommand reads a command. After a malformed command the beginning of the next one is unknown.
func (c *client) readCommand() (cmd parsedCommand, err error) {
	h, err := c.reader.Head()
	if err != nil {
		return cmd, err
	}
	if h.Kind != '*' || h.N < 1 {
		return cmd, fmt.Errorf("a command is an array: %w", resp.ErrProtocol)
	}
	n := h.N
	name, err := c.readArg(nil, maxTextBytes)
	if err != nil {
		return cmd, err
	}
	switch {
	case n == 4 && string(name) == "OBJ.GET":
	case n == 5 && string(name) == "OBJ.SET":
		cmd.Write = true
	case n >= 3 && string(name) == "OBJ.MGET" && c.proxy.cfg.ManyKeys != nil:
		return c.readManyCommand(n - 3)
	default:
		if cmd.name = strings.ToUpper(string(name)); cmd.name == "AUTH" && c.proxy.cfg.Callers != nil && (n == 2 || n == 3) {
			// Clients may send a user name first; it is ignored, as the token names the tenant.
			for range n - 1 {
				if cmd.token, err = c.readArg(nil, identity.MaxTokenBytes); err != nil {
					return cmd, err
				}
			}
			return cmd, nil
		}
		if strings.HasPrefix(cmd.name, "OBJ.") {
			cmd.name = "malformed OBJ"
		}
		return cmd, c.skipArgs(n - 1)
	}
	ends := [3]int{}
	text, err := c.readTexts(ends[:])
	if err != nil {
		return cmd, err
	}
	cmd.Key, cmd.ReqID, cmd.Attrs = text[:ends[0]], text[ends[0]:ends[1]], text[ends[1]:]
	if cmd.Write {
		err = c.readValue(&cmd)
	}
	return cmd, err
}

// readTexts reads the short arguments at the beginning of a request into one buffer, and sets ends to the
// end of each.
func (c *client) readTexts(ends []int) (text []byte, err error) {
	maxBytes := maxTextBytes
	if c.proxy.cfg.Callers != nil {
		maxBytes += identity.MaxTokenBytes
	}
	text = make([]byte, 0, 96)
	for i := range ends {
		if text, err = c.readArg(text, maxBytes-len(text)); err != nil {
			return nil, err
		}
		ends[i] = len(text)
	}
	return text, nil
}

// readManyCommand reads the rest of OBJ.MGET: an id, an attribute list, and the given number of keys. If
// there are too many keys, none is kept.
func (c *client) readManyCommand(keys int) (cmd parsedCommand, err error) {
	cmd.multiKey = true
	ends := [2]int{}
	text, err := c.readTexts(ends[:])
	if err != nil {
		return cmd, err
	}
	cmd.ReqID, cmd.Attrs = text[:ends[0]:ends[0]], text[ends[0]:ends[1]:ends[1]]
	if keys > c.proxy.cfg.ManyKeys.Keys {
		cmd.rejectedKeys = keys
		return cmd, c.skipArgs(keys)
	}
	left := maxKeyTextBytes
	for range keys {
		key, err := c.readArg(nil, min(maxTextBytes, left))
		if err != nil {
			return cmd, err
		}
		left -= len(key)
		cmd.keys = append(cmd.keys, string(key))
	}
	return cmd, nil
}

// skipArgs reads and discards n arguments.
func (c *client) skipArgs(n int) error {
	for range n {
		h, err := c.readBulkHead()
		if err == nil {
			err = c.reader.Skip(h.N)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *client) readBulkHead() (resp.Head, error) {
	h, err := c.reader.Head()
	if err == nil && (h.Kind != '$' || h.N < 0) {
		err = fmt.Errorf("an argument is a bulk string: %w", resp.ErrProtocol)
	}
	return h, err
}

func (c *client) readArg(dst []byte, most int) ([]byte, error) {
	h, err := c.readBulkHead()
	if err != nil {
		return dst, err
	}
	if h.N > most {
		return dst, fmt.Errorf("argument too long: %w", resp.ErrProtocol)
	}
	return c.reader.Bulk(dst, h.N)
}

// readValue reads a value into memory, which it takes from the shared limit piece by piece as bytes arrive:
// a client that only announces a long value holds none of it. Once the limit is reached, the rest of the
// value is discarded and the command is refused.
func (c *client) readValue(cmd *parsedCommand) error {
	h, err := c.readBulkHead()
	if err != nil {
		return err
	}
	if c.reader.Buffered() < h.N { // the beginning of the command had its own time limit of that length
		c.limitCommandTime()
	}
	if h.N > resp.MaxValue {
		return c.readLongValue(cmd, h.N)
	}
	p := c.proxy
	const piece = 4 << 10
	for len(cmd.Value) < h.N {
		if len(cmd.Value) == cap(cmd.Value) {
			size := min(h.N, max(piece, 2*cap(cmd.Value)))
			grown := make([]byte, len(cmd.Value), size)
			copy(grown, cmd.Value)
			p.mu.Lock()
			p.bufferedBytes += cap(grown) - cap(cmd.Value)
			over := p.bufferedBytes > p.maxBufferedBytes
			if over {
				p.bufferedBytes -= cap(grown)
			}
			p.mu.Unlock()
			if over {
				rest := h.N - len(cmd.Value)
				*cmd = parsedCommand{refused: true}
				return c.reader.Skip(rest)
			}
			cmd.Value = grown
		}
		n, err := c.reader.Read(cmd.Value[len(cmd.Value):min(cap(cmd.Value), h.N)])
		cmd.Value = cmd.Value[:len(cmd.Value)+n]
		if err == nil && len(cmd.Value) == h.N {
			break
		}
		if err != nil {
			p.mu.Lock()
			p.bufferedBytes -= cap(cmd.Value)
			p.mu.Unlock()
			return err
		}
	}
	if err := c.reader.LineEnd(); err != nil { // the announced length was wrong
		p.mu.Lock()
		p.bufferedBytes -= cap(cmd.Value)
		p.mu.Unlock()
		return err
	}
	return nil
}
