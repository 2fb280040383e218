package laneflow.membership.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * What is to be told on, the least told first; of each name only the newest word. Every piece is sent as
 * often as brings it to all with near certainty, and then dropped.
 */
final class News {
    private static final int MOST_REPEATS = 64;

    private static final class Item {
        private final String name;
        private final Update update;
        private int sent;

        private Item(String name, Update update) {
            this.name = name;
            this.update = update;
        }
    }

    private final Map<String, Item> newest = new HashMap<>();
    /** By how often they were sent. */
    private final List<ArrayDeque<Item>> levels = new ArrayList<>();

    News() {
        for (int i = 0; i < MOST_REPEATS; i++) {
            levels.add(new ArrayDeque<>());
        }
    }

    boolean isEmpty() {
        return newest.isEmpty();
    }

    /** Names that there is news of. */
    int size() {
        return newest.size();
    }

    /** News of that name, in the place of what there was. */
    void add(String name, Update update) {
        Item item = new Item(name, update);
        newest.put(name, item);
        levels.get(0).addFirst(item);
    }

    /** Puts as much as fits behind what is there already; each piece once. */
    void fill(List<Update> into, int room, int repeats, ToIntFunction<Update> size) {
        int left = room;
        int most = Math.min(repeats, MOST_REPEATS);
        List<Item> taken = null;
        for (int level = 0; level < most && left > 0; level++) {
            ArrayDeque<Item> items = levels.get(level);
            for (int n = items.size(); n > 0 && left > 0; n--) {
                Item item = items.poll();
                if (newest.get(item.name) != item) {
                    continue;
                }
                int bytes = size.applyAsInt(item.update);
                if (bytes > left || into.contains(item.update)) {
                    items.addLast(item);
                    if (bytes > left) {
                        // Smaller ones of the same level may fit, but order counts for more.
                        left = 0;
                    }
                    continue;
                }
                left -= bytes;
                into.add(item.update);
                item.sent++;
                if (taken == null) {
                    taken = new ArrayList<>();
                }
                taken.add(item);
            }
        }
        if (taken != null) {
            for (Item item : taken) {
                if (item.sent >= most) {
                    newest.remove(item.name, item);
                } else {
                    levels.get(item.sent).addLast(item);
                }
            }
        }
    }
}
