package experiment

import (
	"fmt"
	"strconv"
)

// copyTree copies a decoded TOML file, down to its values.
func copyTree(v any) any {
	switch v := v.(type) {
	case map[string]any:
		out := map[string]any{}
		for k, x := range v {
			out[k] = copyTree(x)
		}
		return out
	case []map[string]any:
		out := make([]map[string]any, len(v))
		for i, x := range v {
			out[i] = copyTree(x).(map[string]any)
		}
		return out
	}
	return v
}

// change is what a factor's level does to a value of the scenario.
type change struct {
	value any     // nil: the value is multiplied
	scale float64 // by this
}

// apply is the value after the change. The value is nil where the scenario has none.
func (c change) apply(key string, value any) (any, error) {
	if c.value != nil {
		return c.value, nil
	}
	switch value := value.(type) {
	case int64:
		return int64(float64(value)*c.scale + 0.5), nil
	case float64:
		return value * c.scale, nil
	}
	return nil, fmt.Errorf("%q is no number in the scenario, so there is nothing to multiply", key)
}

// changeAt changes the value at a path of a tree.
func changeAt(node any, path []string, c change) error {
	switch node := node.(type) {
	case []map[string]any:
		return changeInArray(node, path, c)
	case map[string]any:
		return changeInTable(node, path, c)
	}
	return fmt.Errorf("there is nothing below %q", path[0])
}

// changeInArray changes the value in one table of an array, or in each of them.
func changeInArray(array []map[string]any, path []string, c change) error {
	if path[0] == "*" {
		for _, table := range array {
			if err := changeAt(table, path[1:], c); err != nil {
				return err
			}
		}
		return nil
	}
	i, err := strconv.Atoi(path[0])
	if err != nil || i < 0 || i >= len(array) {
		return fmt.Errorf("%q is none of its %d entries", path[0], len(array))
	}
	return changeAt(array[i], path[1:], c)
}

func changeInTable(table map[string]any, path []string, c change) error {
	key := path[0]
	if len(path) > 1 {
		next, ok := table[key]
		if !ok {
			return fmt.Errorf("there is no %q", key)
		}
		return changeAt(next, path[1:], c)
	}
	value, err := c.apply(key, table[key])
	if err != nil {
		return err
	}
	table[key] = value
	return nil
}
