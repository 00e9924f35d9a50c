package org.kingcuproad.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.kingcuproad.emulator.platform.Faults;
import org.kingcuproad.emulator.platform.Outage;
import org.kingcuproad.emulator.platform.PlatformStandIn;

/** Guards against watches that miss a change, or that end without telling the listener. */
class WatchContractTest {

    private static final int SILENCE_MS = 1_500;

    private PlatformStandIn platform;
    private ObjectStore store;
    private final Recorder recorder = new Recorder();

    @BeforeEach
    void start() throws Exception {
        platform = PlatformStandIn.start("127.0.0.1", 0);
        store = HttpObjectStore.open(ObjectStoreSettings.of(platform.url()).withWatchSilenceMs(SILENCE_MS));
    }

    @AfterEach
    void stop() {
        store.close();
        platform.close();
    }

    @Test
    void deliversTheStateAndThenEachChangeInOrder() throws Exception {
        long first = put("a/1", "x");
        put("b/1", "not watched");
        store.watch("a/", 0, recorder);
        assertThat(recorder.nextChange()).isEqualTo("a/1@" + first + "=x");
        long second = put("a/2", "y".repeat(ObjectStore.MAX_VALUE_BYTES));
        assertThat(recorder.nextChange()).isEqualTo("a/2@" + second + "=" + "y".repeat(ObjectStore.MAX_VALUE_BYTES));
        store.delete("a/1", first).get(10, TimeUnit.SECONDS);
        assertThat(recorder.nextChange()).isEqualTo("a/1@" + (second + 1) + " deleted");
    }

    @Test
    void goesOnFromAVersionWithoutAGap() throws Exception {
        long first = put("a/1", "x");
        long second = put("a/1", "y");
        store.watch("a/", first, recorder);
        assertThat(recorder.nextChange()).isEqualTo("a/1@" + second + "=y");
    }

    @Test
    void tellsThatItsHistoryIsLost() throws Exception {
        put("a/1", "x");
        put("a/1", "y");
        platform.forgetHistory();
        store.watch("a/", 1, recorder);
        assertThat(recorder.nextEnd()).isEqualTo(new WatchEnd.HistoryLost());
    }

    static Stream<Arguments> faults() {
        return Stream.of(
                fault("connection goes silent", PlatformStandIn::silenceWatches),
                fault("outage breaks it off", p -> p.setFaults(Faults.NONE.withOutage(Outage.REFUSE))),
                fault("outage makes it silent", p -> p.setFaults(Faults.NONE.withOutage(Outage.SILENT))),
                fault("platform stops", PlatformStandIn::close));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void tellsThatTheConnectionIsLost(String name, Consumer<PlatformStandIn> fault) throws Exception {
        store.watch("a/", 0, recorder);
        recorder.nextBookmark();
        fault.accept(platform);
        assertThat(recorder.nextEnd()).isInstanceOf(WatchEnd.Disconnected.class);
    }

    @Test
    void staysOpenWhileOnlyBookmarksArrive() throws Exception {
        store.watch("a/", 0, recorder);
        for (int bookmarks = 0; bookmarks < 4; bookmarks++) {
            recorder.nextBookmark();
        }
        assertThat(recorder.ends).isEmpty();
    }

    @Test
    void aCancelledWatchClosesItsConnection() throws Exception {
        Watch watch = store.watch("a/", 0, recorder);
        recorder.nextBookmark();
        watch.cancel();
        while (platform.openWatches() > 0) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertThat(recorder.ends).isEmpty();
    }

    private static Arguments fault(String name, Consumer<PlatformStandIn> fault) {
        return Arguments.of(name, fault);
    }

    private long put(String key, String value) {
        return platform.putObject(key, value.getBytes(StandardCharsets.UTF_8));
    }

    /** Keeps the messages of a watch for the test's thread. */
    private static final class Recorder implements WatchListener {

        private final BlockingQueue<String> changes = new LinkedBlockingQueue<>();
        private final BlockingQueue<Long> bookmarks = new LinkedBlockingQueue<>();
        private final BlockingQueue<WatchEnd> ends = new LinkedBlockingQueue<>();

        @Override
        public void onEvent(WatchEvent event) {
            switch (event) {
                case WatchEvent.Changed changed -> {
                    StoredObject object = changed.object();
                    String value = new String(object.value(), StandardCharsets.UTF_8);
                    changes.add(object.key() + "@" + object.version() + "=" + value);
                }
                case WatchEvent.Deleted deleted -> changes.add(deleted.key() + "@" + deleted.version() + " deleted");
                case WatchEvent.Bookmark bookmark -> bookmarks.add(bookmark.version());
            }
        }

        @Override
        public void onEnded(WatchEnd end) {
            ends.add(end);
        }

        String nextChange() throws InterruptedException {
            return next(changes);
        }

        void nextBookmark() throws InterruptedException {
            next(bookmarks);
        }

        WatchEnd nextEnd() throws InterruptedException {
            return next(ends);
        }

        private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
            T message = queue.poll(30, TimeUnit.SECONDS);
            assertThat(message).isNotNull();
            return Objects.requireNonNull(message);
        }
    }
}
