package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
)

// patch is an operator's change of named items. The keys of Upsert and Remove are the document's keys
// of the lists that have the items.
type patch struct {
	Version uint64                       `json:"version"`
	Upsert  map[string][]json.RawMessage `json:"upsert"` // items to add, or to replace if an item has the same name
	Remove  map[string][]string          `json:"remove"` // names of items; unknown names are ignored
	Limits  json.RawMessage              `json:"limits"` // replaces all limits if present
	// Other is not used. It is kept because the recorded list of struct tags (internal/golden) has
	// its tag.
	Other map[string]map[string]json.RawMessage `json:"-"`
}

// ApplyPatch returns the text of a document after a patch of named items: items are removed first, then
// replaced or added. Everything else is kept, including keys that Document does not have. The result is
// not validated; the caller must pass it to Parse.
func ApplyPatch(body, change []byte) ([]byte, error) {
	var p patch
	if err := json.Unmarshal(change, &p); err != nil {
		return nil, fmt.Errorf("configuration: decode patch: %w", err)
	}
	var document map[string]json.RawMessage
	if err := json.Unmarshal(body, &document); err != nil {
		return nil, fmt.Errorf("configuration: decode document: %w", err)
	}
	if document == nil { // the text is null
		return nil, errors.New("configuration: document is null, want an object")
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

// upsertItems replaces the items of a list of the document that have the same names, and appends the
// others.
func upsertItems(document map[string]json.RawMessage, key string, items []json.RawMessage) error {
	list, err := readList(document, key)
	if err != nil {
		return err
	}
	indexes := indexByName(list)
	for _, item := range items {
		name := itemName(item)
		if name == "" {
			return fmt.Errorf("configuration: upsert.%s: item without a name", key)
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

// readList returns a list of the document, or an empty one if the document does not have it. The list
// is never nil, so that it is encoded as a list.
func readList(document map[string]json.RawMessage, key string) ([]json.RawMessage, error) {
	list := []json.RawMessage{}
	raw, ok := document[key]
	if !ok {
		return list, nil
	}
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, fmt.Errorf("configuration: %s: %w", key, err)
	}
	if list == nil { // the value is null
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

// indexByName returns the index of each item by name. If several items have the same name, the last
// one counts.
func indexByName(list []json.RawMessage) map[string]int {
	indexes := make(map[string]int, len(list))
	for i, item := range list {
		indexes[itemName(item)] = i
	}
	return indexes
}

// itemName returns the name of an item, or "" if it has none or is not an object.
func itemName(item json.RawMessage) string {
	var named struct {
		Name string `json:"name"`
	}
	if json.Unmarshal(item, &named) != nil {
		return ""
	}
	return named.Name
}
