package org.kingcuproad.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.util.Map;
import java.util.UUID;
import org.kingcuproad.config.EnvironmentDocumentReader;
import org.kingcuproad.config.json.DocumentInvalidException;
import org.kingcuproad.model.KingcuproadException;

/**
 * Puts a document into the trial stage of its environment.
 *
 * <p>Exit codes: 0 if it is in the trial stage, 3 if it has mistakes, 4 if the stage has another revision than the
 * named one, 5 if no entry or store answers, 6 if the credential is refused, 1 otherwise.
 */
@Parameters(commandDescription = "Put an environment document into the trial stage")
public final class TrialCommand extends AdminCommand {

    @Parameter(description = "FILE", required = true)
    private String file = "";

    @Parameter(
            names = "--base-revision",
            description = "Trial revision that the file was edited from, or 0 if there is none",
            required = true)
    private long baseRevision;

    @Parameter(names = "--operation-id", description = "Operation id of an earlier call whose answer was lost")
    private String operationId = UUID.randomUUID().toString();

    /** Creates the command. */
    public TrialCommand() {}

    @Override
    public String name() {
        return "trial";
    }

    @Override
    ExitCode call(AdminClient client, PrintStream out, PrintStream err) throws KingcuproadException {
        byte[] content = InputFile.read(file);
        try {
            put(client, EnvironmentDocumentReader.read(content).environment(), content, out);
            return ExitCode.SUCCESS;
        } catch (DocumentInvalidException failure) {
            MistakeReport.print(file, failure.mistakes(), json(), out, err);
            return ExitCode.INVALID;
        }
    }

    private void put(AdminClient client, String environment, byte[] content, PrintStream out)
            throws KingcuproadException {
        Map<String, String> headers = baseRevision == 0
                ? Map.of("X-Operation-Id", operationId, "If-None-Match", "*")
                : Map.of("X-Operation-Id", operationId, "If-Match", "\"" + baseRevision + "\"");
        String path = "/admin/v1/environments/" + environment + "/trial";
        AdminReply reply = client.call(new AdminCall("PUT", path, Map.of(), headers, content));
        long revision = AdminClient.parse(reply.body()).path("revision").asLong();
        out.println(json() ? reply.body() : "trial stage of " + environment + " has revision " + revision);
    }
}
