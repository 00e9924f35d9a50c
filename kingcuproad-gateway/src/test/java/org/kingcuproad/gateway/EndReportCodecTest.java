package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.kingcuproad.policy.gateway.EndConfirmations;

class EndReportCodecTest {

    private static final EndReport REPORT = new EndReport(
            "g1",
            Map.of(
                    "desk",
                    new EndConfirmations.Report(20, 8, false),
                    "engines",
                    new EndConfirmations.Report(0, 0, true)));

    @Test
    void decodesWhatItEncodes() {
        assertThat(EndReportCodec.decode(EndReportCodec.encode(REPORT))).isEqualTo(REPORT);
    }

    @Test
    void rejectsATruncatedMessage() {
        ByteBuf message = EndReportCodec.encode(REPORT);
        ByteBuf truncated = message.slice(0, message.readableBytes() - 1);
        assertThatThrownBy(() -> EndReportCodec.decode(truncated)).isInstanceOf(IndexOutOfBoundsException.class);
    }
}
