package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
)

// patch is an operator's change of named items, by the document's key that lists them.
type patch struct {
	Version uint64                       `json:"version"`
	Upsert  map[string][]json.RawMessage `json:"upsert"` // items that replace those of the same name, or are added
	Remove  map[string][]string          `json:"remove"` // names of items; unknown ones are ignored
	Limits  json.RawMessage              `json:"limits"` // replaces all limits, if present
	// Other is never read or filled. The recorded list of tags (internal/golden) has its tag.
	Other map[string]map[string]json.RawMessage `json:"-"`
}

// ApplyPatch returns a document's text with a change of named items made to it. Items are removed first, then replaced or added. What the change
// does not name stays as it is, keys that Document does not have too. The result is not checked; pass it to Parse.
func ApplyPatch(body, change []byte) ([]byte, error) {
	var p patch
	if err := json.Unmarshal(change, &p); err != nil {
		return nil, fmt.Errorf("configuration: change: %w", err)
	}
	var document map[string]json.RawMessage
	if err := json.Unmarshal(body, &document); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if document == nil { // the text is null
		return nil, errors.New("configuration: is no object")
	}
	document["version"] = json.RawMessage(fmt.Sprint(p.Version))
	if len(p.Limits) > 0 {
		document["limits"] = p.Limits
	}
	for key, names := range p.Remove {
		if err := removeItems(document, key, names); err != nil {
			return nil, err
		}
	}
	for key, items := range p.Upsert {
		if err := upsertItems(document, key, items); err != nil {
			return nil, err
		}
	}
	return json.Marshal(document)
}

// removeItems removes the named items from a list of the document.
func removeItems(document map[string]json.RawMessage, key string, names []string) error {
	list, err := readList(document, key)
	if err != nil {
		return err
	}
	indexes := indexByName(list)
	removed := map[int]bool{}
	for _, name := range names {
		if i, ok := indexes[name]; ok {
			removed[i] = true
		}
	}
	kept := make([]json.RawMessage, 0, len(list))
	for i, item := range list {
		if !removed[i] {
			kept = append(kept, item)
		}
	}
	return writeList(document, key, kept)
}

// upsertItems replaces the items of a list of the document that have the same names, and adds the others at its end.
func upsertItems(document map[string]json.RawMessage, key string, items []json.RawMessage) error {
	list, err := readList(document, key)
	if err != nil {
		return err
	}
	indexes := indexByName(list)
	for _, item := range items {
		name := itemName(item)
		if name == "" {
			return fmt.Errorf("configuration: upsert.%s: an item has no name", key)
		}
		if i, ok := indexes[name]; ok {
			list[i] = item
			continue
		}
		indexes[name] = len(list)
		list = append(list, item)
	}
	return writeList(document, key, list)
}

// readList returns a list of the document, an empty one if the document does not have it. It is never nil, so that it is written as a list.
func readList(document map[string]json.RawMessage, key string) ([]json.RawMessage, error) {
	list := []json.RawMessage{}
	raw, ok := document[key]
	if !ok {
		return list, nil
	}
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, fmt.Errorf("configuration: %s: %w", key, err)
	}
	if list == nil { // the document has null
		return []json.RawMessage{}, nil
	}
	return list, nil
}

func writeList(document map[string]json.RawMessage, key string, list []json.RawMessage) error {
	raw, err := json.Marshal(list)
	if err != nil {
		return err
	}
	document[key] = raw
	return nil
}

// indexByName returns the index of each named item; of several with the same name, that of the last.
func indexByName(list []json.RawMessage) map[string]int {
	indexes := make(map[string]int, len(list))
	for i, item := range list {
		indexes[itemName(item)] = i
	}
	return indexes
}

// itemName returns an item's name, the empty string if it has none or is not an object.
func itemName(item json.RawMessage) string {
	var named struct {
		Name string `json:"name"`
	}
	if json.Unmarshal(item, &named) != nil {
		return ""
	}
	return named.Name
}
