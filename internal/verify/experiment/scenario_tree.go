package experiment

import (
	"fmt"
	"strconv"
)

// copyTree returns a deep copy of the tables of a decoded TOML file.
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

// change is the change that a factor's level makes to a value of the scenario.
type change struct {
	value any // new value; nil: the old one is multiplied by scale
	scale float64
}

// apply returns the changed value. The given value is nil if the scenario has none.
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
	return nil, fmt.Errorf("%q is not a number in the scenario and cannot be scaled", key)
}

// changeAt changes the value at a path of a tree.
func changeAt(node any, path []string, c change) error {
	switch node := node.(type) {
	case []map[string]any:
		return changeInArray(node, path, c)
	case map[string]any:
		return changeInTable(node, path, c)
	}
	return fmt.Errorf("%q is below a value that is neither a table nor an array of tables", path[0])
}

// changeInArray changes the value in one table of an array, or in all of them if the index is "*".
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
		return fmt.Errorf("%q is not the index of one of the %d tables", path[0], len(array))
	}
	return changeAt(array[i], path[1:], c)
}

func changeInTable(table map[string]any, path []string, c change) error {
	key := path[0]
	if len(path) > 1 {
		next, ok := table[key]
		if !ok {
			return fmt.Errorf("unknown key %q", key)
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
