package laneflow.core;

import java.util.List;

/** A front that notes its answers, but for refusals, of which each test wants something else. */
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
