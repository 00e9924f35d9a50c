package org.kingcuproad.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.KingcuproadException;
import org.kingcuproad.model.Stage;

/**
 * Shows the revisions of both stages and what an entry reports about itself.
 *
 * <p>Exit codes: 0 if the entry answers, 5 if no entry or store answers, 6 if the credential is refused, 1 otherwise.
 */
@Parameters(commandDescription = "Show the revisions of an environment and the state of an entry")
public final class StatusCommand extends AdminCommand {

    @Parameter(names = "--environment", description = "Name of the environment; without it, only the entry is shown")
    private String environment = "";

    /** Creates the command. */
    public StatusCommand() {}

    @Override
    public String name() {
        return "status";
    }

    @Override
    ExitCode call(AdminClient client, PrintStream out, PrintStream err) throws KingcuproadException {
        ObjectNode status = new ObjectMapper().createObjectNode();
        if (!environment.isEmpty()) {
            for (Stage stage : Stage.values()) {
                addStage(client, stage, status.putObject(stage.label()));
            }
        }
        AdminReply reply = client.call(AdminCall.get("/admin/v1/status"));
        status.set("entry", AdminClient.parse(reply.body()));
        if (json()) {
            out.println(status);
        } else {
            JsonLines.print(status, "", out);
        }
        return ExitCode.SUCCESS;
    }

    private void addStage(AdminClient client, Stage stage, ObjectNode target) throws KingcuproadException {
        String path = "/admin/v1/environments/" + environment + "/" + stage.label();
        try {
            AdminReply reply = client.call(AdminCall.get(path));
            target.put("revision", Long.parseLong(reply.entityTag().orElse("0")));
            target.put("operationId", reply.operationId().orElse(""));
        } catch (AdminCallException failure) {
            if (failure.kind() != ErrorKind.NOT_FOUND) {
                throw failure;
            }
            target.put("revision", 0);
        } catch (NumberFormatException failure) {
            throw new KingcuproadException(ErrorKind.INTERNAL, "the entry sent a malformed revision", failure);
        }
    }
}
