package laneflow.core;

import java.util.List;

/** A front that records its answers; each test records refusals in its own way. */
interface RecordingFront extends Front {
    List<String> answers();

    @Override
    default String name() {
        return "http";
    }

    @Override
    default void served(long tag, byte[] result) {
        answers().add("served");
    }

    @Override
    default void failed(long tag) {
        answers().add("failed");
    }
}
