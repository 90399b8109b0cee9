package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// flattenSettings converts nested settings to the sorted path=value pairs that simprotocol.ParseSettings reads. A list
// of scalar values becomes one value, separated by commas. A list of objects becomes its count and the pairs of its
// items.
func flattenSettings(data []byte) ([]string, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var settings map[string]any
	if err := decoder.Decode(&settings); err != nil {
		return nil, err
	}
	var f settingsFlattener
	err := f.add("", settings)
	slices.Sort(f.pairs)
	return f.pairs, err
}

type settingsFlattener struct{ pairs []string }

func (f *settingsFlattener) add(path string, value any) error {
	switch value := value.(type) {
	case map[string]any:
		return f.addObject(path, value)
	case []any:
		return f.addList(path, value)
	}
	text, err := scalarText(value)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	f.pairs = append(f.pairs, path+"="+text)
	return nil
}

func (f *settingsFlattener) addObject(path string, object map[string]any) error {
	if path != "" {
		path += "."
	}
	for key, value := range object {
		if err := f.add(path+key, value); err != nil {
			return err
		}
	}
	return nil
}

func (f *settingsFlattener) addList(path string, list []any) error {
	if len(list) > 0 {
		if _, isObject := list[0].(map[string]any); isObject {
			return f.addObjects(path, list)
		}
	}
	texts := make([]string, len(list))
	for i, value := range list {
		text, err := scalarText(value)
		if err != nil {
			return fmt.Errorf("%s[%d]: %w", path, i, err)
		}
		texts[i] = text
	}
	f.pairs = append(f.pairs, path+"="+strings.Join(texts, ","))
	return nil
}

func (f *settingsFlattener) addObjects(path string, list []any) error {
	f.pairs = append(f.pairs, fmt.Sprintf("%s.count=%d", path, len(list)))
	for i, value := range list {
		if err := f.add(fmt.Sprintf("%s.%d", path, i), value); err != nil {
			return err
		}
	}
	return nil
}

// scalarText formats a scalar value. Spaces and commas are replaced, because they separate fields and list items.
func scalarText(value any) (string, error) {
	switch value := value.(type) {
	case json.Number:
		return value.String(), nil
	case bool:
		return strconv.FormatBool(value), nil
	case string:
		return strings.NewReplacer(" ", "_", ",", "_").Replace(value), nil
	case nil:
		return "-", nil
	}
	return "", fmt.Errorf("%T is not a scalar value", value)
}
