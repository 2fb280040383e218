package laneflow.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import laneflow.decision.Dispatch.JobClass;
import laneflow.decision.Dispatch.Settings;
import laneflow.decision.Dispatch.Tenant;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks which tenant a request belongs to. */
class JobReaderTest {
    private static Tenant tenant(String name) {
        Tenant tenant = new Tenant();
        tenant.name = name;
        return tenant;
    }

    @ParameterizedTest
    @CsvSource({
        "'Req-Owner: one\\r\\n', 0",
        "'req-owner:  zwölf\\r\\n', 1",
        "'Req-Owner: two\\r\\n', -1",
        "'Req-Owner: ONE\\r\\n', -1",
        "'Req-Owner:\\r\\n', -1",
        "'', -1"
    })
    void theOwnerIsTheTenantOfThatNameOrUnknown(String header, int tenant) throws HttpException {
        Settings settings = new Settings();
        settings.classes = new JobClass[] {new JobClass()};
        settings.tenants = new Tenant[] {tenant("one"), tenant("zwölf")};
        String text = "POST /work HTTP/1.1\r\nReq-Id: 1\r\n" + header.translateEscapes() + "\r\n";
        HttpHead head = HttpHead.parse(text.getBytes(StandardCharsets.UTF_8), false);
        JobReader reader = new JobReader(new String[] {"work"}, settings);
        assertEquals(tenant, reader.read(null, 1, head, new byte[0], 0).tenant);
    }
}
