package laneflow.membership.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * Updates to gossip, least sent first, with only the latest update of each name. An update is dropped after as
 * many sends as reach all members with near certainty.
 */
final class GossipQueue {
    private static final int MAX_REPEATS = 64;

    private static final class Item {
        private final String name;
        private final Update update;
        private int timesSent;

        private Item(String name, Update update) {
            this.name = name;
            this.update = update;
        }
    }

    private final Map<String, Item> latestByName = new HashMap<>();
    /** Queues by the number of sends so far. */
    private final List<ArrayDeque<Item>> bySendCount = new ArrayList<>();

    GossipQueue() {
        for (int i = 0; i < MAX_REPEATS; i++) {
            bySendCount.add(new ArrayDeque<>());
        }
    }

    boolean isEmpty() {
        return latestByName.isEmpty();
    }

    /** Number of names with a queued update. */
    int size() {
        return latestByName.size();
    }

    /** Queues an update, replacing an earlier one of that name. */
    void add(String name, Update update) {
        Item item = new Item(name, update);
        latestByName.put(name, item);
        bySendCount.get(0).addFirst(item);
    }

    /** Appends as many updates as fit, none of them twice. */
    void fill(List<Update> updates, int room, int repeats, ToIntFunction<Update> size) {
        int remaining = room;
        int repeatLimit = Math.min(repeats, MAX_REPEATS);
        List<Item> sentItems = null;
        for (int level = 0; level < repeatLimit && remaining > 0; level++) {
            ArrayDeque<Item> items = bySendCount.get(level);
            for (int n = items.size(); n > 0 && remaining > 0; n--) {
                Item item = items.poll();
                if (latestByName.get(item.name) != item) {
                    continue;
                }
                int bytes = size.applyAsInt(item.update);
                if (bytes > remaining || updates.contains(item.update)) {
                    items.addLast(item);
                    if (bytes > remaining) {
                        // Smaller updates might still fit, but the order has priority.
                        remaining = 0;
                    }
                    continue;
                }
                remaining -= bytes;
                updates.add(item.update);
                item.timesSent++;
                if (sentItems == null) {
                    sentItems = new ArrayList<>();
                }
                sentItems.add(item);
            }
        }
        if (sentItems != null) {
            for (Item item : sentItems) {
                if (item.timesSent >= repeatLimit) {
                    latestByName.remove(item.name, item);
                } else {
                    bySendCount.get(item.timesSent).addLast(item);
                }
            }
        }
    }
}
