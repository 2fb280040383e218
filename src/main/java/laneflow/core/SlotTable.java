package laneflow.core;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * A table of numbered slots. A handle holds the slot's number and its generation, so the handle of a removed
 * item finds nothing, even after its slot was reused.
 */
public final class SlotTable<T> {
    private Object[] items = new Object[16];
    private int[] generations = new int[16];
    private int[] free = new int[16];
    private int freeCount;
    private int used;
    private int size;

    /** Puts an item in a free slot and returns its handle, which is never 0. */
    public long add(T item) {
        int slot = freeCount > 0 ? free[--freeCount] : used++;
        if (slot == items.length) {
            items = Arrays.copyOf(items, slot * 2);
            generations = Arrays.copyOf(generations, slot * 2);
            free = Arrays.copyOf(free, slot * 2);
        }
        items[slot] = item;
        size++;
        generations[slot] = generations[slot] == Integer.MAX_VALUE ? 1 : generations[slot] + 1;
        return (long) generations[slot] << 32 | slot;
    }

    /** The handle's item, or null if it was removed. */
    @SuppressWarnings("unchecked")
    public T get(long handle) {
        int slot = (int) handle;
        boolean current = slot >= 0 && slot < used && generations[slot] == (int) (handle >>> 32);
        return current ? (T) items[slot] : null;
    }

    /** Removes and returns the item; null if it was removed before. */
    public T remove(long handle) {
        T item = get(handle);
        if (item != null) {
            int slot = (int) handle;
            items[slot] = null;
            free[freeCount++] = slot;
            size--;
        }
        return item;
    }

    public int size() {
        return size;
    }

    /** Runs the action on each item; the action may remove that item. */
    @SuppressWarnings("unchecked")
    public void forEach(Consumer<? super T> action) {
        for (int i = 0; i < used; i++) {
            if (items[i] != null) {
                action.accept((T) items[i]);
            }
        }
    }
}
