package org.kingcuproad.ctl;

import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import org.kingcuproad.model.KingcuproadException;

/** Connects to an entry, makes the calls of a command and reports refusals as text or JSON. */
abstract class AdminCommand implements Command {

    @ParametersDelegate
    private final AdminOptions options = new AdminOptions();

    /** Makes the calls and writes the result. */
    abstract ExitCode call(AdminClient client, PrintStream out, PrintStream err) throws KingcuproadException;

    boolean json() {
        return options.json();
    }

    @Override
    public final ExitCode run(PrintStream out, PrintStream err) throws KingcuproadException {
        try (AdminClient client = options.connect()) {
            return call(client, out, err);
        } catch (AdminCallException refusal) {
            report(refusal, out, err);
            return ExitCode.of(refusal.kind());
        }
    }

    private void report(AdminCallException refusal, PrintStream out, PrintStream err) {
        if (json()) {
            out.println(refusal.problem());
            return;
        }
        err.println(refusal.kind().label() + ": " + refusal.detail());
        for (JsonNode mistake : AdminClient.parse(refusal.problem()).path("mistakes")) {
            err.println(mistake.path("path").asText() + ": expected "
                    + mistake.path("expected").asText() + ", found "
                    + mistake.path("found").asText());
        }
    }
}
