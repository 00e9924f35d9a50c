package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.kingcuproad.policy.gateway.EndConfirmations.Report;

class EndConfirmationsTest {

    private static final long NOW_MS = 1_000;

    /** A route with two attempts asks seven times about one stream. */
    private static final int QUESTIONS_OF_ONE_STREAM = 7;

    private final EndConfirmations confirmations = new EndConfirmations();

    private void seeEnds(int count) {
        IntStream.range(0, count).forEach(end -> confirmations.onOrderlyEnd(NOW_MS));
    }

    private void confirm() {
        confirm(NOW_MS);
    }

    private void confirm(long nowMs) {
        IntStream.range(0, EndConfirmations.MIN_ENDS).forEach(end -> confirmations.onOrderlyEnd(nowMs));
        confirmations.onStated();
        confirmations.onStated();
    }

    @Test
    void believesNoEndOfAnUnknownService() {
        assertThat(confirmations.believed(NOW_MS)).isFalse();
        assertThat(confirmations.report(NOW_MS)).isEmpty();
    }

    @Test
    void believesEndsAfterManyOfWhichSomeWereConfirmed() {
        confirmations.onStated();
        confirmations.onStated();
        seeEnds(EndConfirmations.MIN_ENDS - 1);
        assertThat(confirmations.believed(NOW_MS)).isFalse();
        seeEnds(1);
        assertThat(confirmations.believed(NOW_MS)).isTrue();
    }

    @Test
    void believesNoEndOnTheAnswersAboutOneStreamThatStateNoEnds() {
        seeEnds(EndConfirmations.MIN_ENDS);
        IntStream.range(0, QUESTIONS_OF_ONE_STREAM).forEach(question -> confirmations.onUnstated());
        assertThat(confirmations.believed(NOW_MS)).isFalse();
        confirmations.onStated();
        assertThat(confirmations.believed(NOW_MS)).isTrue();
    }

    @Test
    void believesNoEndForAWhileAfterOneWasRefuted() {
        confirm();
        confirmations.onRefuted(NOW_MS);
        confirm(NOW_MS + EndConfirmations.DISTRUST_MS - 1);
        assertThat(confirmations.believed(NOW_MS + EndConfirmations.DISTRUST_MS - 1))
                .isFalse();
        assertThat(confirmations.believed(NOW_MS + EndConfirmations.DISTRUST_MS))
                .isTrue();
    }

    @Test
    void believesNoEndForAWhileAfterAResponseWasCutOff() {
        confirm();
        confirmations.onCutOff(NOW_MS);
        confirm();
        assertThat(confirmations.believed(NOW_MS + EndConfirmations.TROUBLE_MS - 1))
                .isFalse();
        assertThat(confirmations.believed(NOW_MS + EndConfirmations.TROUBLE_MS)).isTrue();
    }

    @Test
    void distrustsAtLeastAsLongAsAfterTheRefutationIfAResponseIsCutOffLater() {
        confirmations.onRefuted(NOW_MS);
        confirmations.onCutOff(NOW_MS + 1);
        confirm(NOW_MS + EndConfirmations.DISTRUST_MS - 1);
        assertThat(confirmations.believed(NOW_MS + EndConfirmations.DISTRUST_MS - 1))
                .isFalse();
    }

    @Test
    void needsNewEvidenceAfterAnEndWasRefuted() {
        confirm();
        confirmations.onRefuted(NOW_MS);
        assertThat(confirmations.believed(NOW_MS + EndConfirmations.DISTRUST_MS))
                .isFalse();
    }

    @Test
    void forgetsEndsThatWereSeenLongAgo() {
        confirm();
        assertThat(confirmations.believed(NOW_MS + EndConfirmations.MEMORY_MS - 1))
                .isTrue();
        assertThat(confirmations.believed(NOW_MS + EndConfirmations.MEMORY_MS)).isFalse();
        assertThat(confirmations.report(NOW_MS + EndConfirmations.MEMORY_MS)).isEmpty();
    }

    @Test
    void judgesByWhatAllGatewaysHaveSeenTogether() {
        seeEnds(8);
        confirmations.onStated();
        confirmations.onReported("g2", new Report(6, 0, false), NOW_MS);
        confirmations.onReported("g3", new Report(6, 4, false), NOW_MS);
        assertThat(confirmations.believed(NOW_MS)).isTrue();
        assertThat(confirmations.report(NOW_MS)).contains(new Report(8, 4, false));
        assertThat(confirmations.believed(NOW_MS + EndConfirmations.REPORT_VALIDITY_MS))
                .isFalse();
    }

    @Test
    void countsOnlyTheLastReportOfAGateway() {
        seeEnds(8);
        confirmations.onStated();
        confirmations.onStated();
        confirmations.onReported("g2", new Report(8, 0, false), NOW_MS);
        confirmations.onReported("g2", new Report(8, 0, false), NOW_MS);
        assertThat(confirmations.believed(NOW_MS)).isFalse();
    }

    @Test
    void believesNoEndWhileAnotherGatewayDistrustsThem() {
        confirm();
        confirmations.onReported("g2", new Report(0, 0, true), NOW_MS);
        assertThat(confirmations.believed(NOW_MS)).isFalse();
        assertThat(confirmations.believed(NOW_MS + EndConfirmations.REPORT_VALIDITY_MS))
                .isTrue();
    }

    @Test
    void believesNoEndAfterItsOwnRefutationWhateverOthersReport() {
        confirmations.onRefuted(NOW_MS);
        confirmations.onReported("g2", new Report(20, 8, false), NOW_MS);
        assertThat(confirmations.believed(NOW_MS)).isFalse();
    }
}
