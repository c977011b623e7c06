package state

import wire "wisteriakeel.example/wisteriakeel/internal/wire/control"

// keptOrders bounds the orders that a repeated command finds again. An order that
// fell out gets a newer token, which is safe.
const keptOrders = 1024

// order gives the next fencing token, or the first one again to a repeated command.
func (c *Config) order(r *wire.OrderCommand) *wire.OrderReply {
	if r.Order == "" {
		return &wire.OrderReply{Fault: fault(wire.Code_CODE_INVALID, "order is empty")}
	}
	for _, o := range c.orders {
		if o.Order == r.Order {
			return &wire.OrderReply{Token: o.Token}
		}
	}
	c.token++
	c.orders = append(c.orders, &wire.OrderRecord{Order: r.Order, Token: c.token})
	if len(c.orders) > keptOrders {
		c.orders = append([]*wire.OrderRecord(nil), c.orders[1:]...)
	}
	return &wire.OrderReply{Token: c.token}
}
