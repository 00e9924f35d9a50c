package org.kingcuproad.gateway.rank;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.kingcuproad.gateway.enginegroup.GroupReportCodec;
import org.kingcuproad.policy.enginegroup.GroupReport;

/** Guards against group reports that gateways can't read, and against slowdown notices that are no longer sent. */
class GroupReportTest {

    @Test
    void agentReportsGroupAndSlowdownToSubscribers() {
        List<ByteBuf> sent = new ArrayList<>();
        SlowdownNotifier notifier = new SlowdownNotifier((bytes, gateway) -> sent.add(bytes));
        notifier.onSubscription(new InetSocketAddress("10.9.0.1", 7340), 0);
        EngineReport report = new EngineReport(
                Optional.of(new EngineReport.GroupMembership("group-2", 24, 1, 7, false)), 10, 0, -1, -1, 3.5, -1);

        notifier.onReport(report, List.of(new InetSocketAddress("10.3.0.9", 7340)), true, 100);

        assertThat(SlowdownNotifier.isNotice(sent.getFirst())).isTrue();
        assertThat(SlowdownNotifier.readSlowdown(sent.getFirst())).isEqualTo(3.5);
        assertThat(SlowdownNotifier.isNotice(sent.get(1))).isFalse();
        assertThat(GroupReportCodec.decode(sent.get(1)))
                .isEqualTo(new GroupReport("group-2", 7, 1, 24, false, true, 0, List.of("10.3.0.9")));
    }

    @Test
    void rejectsTruncatedReport() {
        ByteBuf bytes = GroupReportCodec.encode(new GroupReport("g", 7, 0, 24, true, false, 80, List.of("10.3.0.9")));

        assertThatThrownBy(() -> GroupReportCodec.decode(bytes.slice(0, bytes.readableBytes() - 1)))
                .isInstanceOf(IndexOutOfBoundsException.class);
    }
}
