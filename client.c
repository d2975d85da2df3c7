/* HTTP client of the operator commands, on libcurl. */
#include "client.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "address.h"
#include "library.h"

#define TIMEOUT_MS 5000L
#define CONNECT_TIMEOUT_MS 500L
#define ATTEMPTS 25 /* each asks all control VMs */
#define RETRY_PAUSE_US 200000

#define AT(field) offsetof(struct client_credentials, field)
static const struct schema_field credentials_fields[] = {
    {.key = "name",
     .type = SCHEMA_TEXT,
     .required = true,
     .min = 1,
     .max = SETTINGS_NAME_MAX,
     .offset = AT(name),
     .help = "give the operator's name, as in the settings"},
    {.key = "token",
     .type = SCHEMA_TEXT,
     .required = true,
     .min = 64,
     .max = 64,
     .offset = AT(token),
     .help = "give the bearer token from `ridgeridge keygen`"},
    {.key = "secret_key",
     .type = SCHEMA_HEX,
     .required = true,
     .min = 64,
     .max = 64,
     .offset = AT(secret_key),
     .help = "give the signing key from `ridgeridge keygen`"},
    {.key = NULL},
};
#undef AT
const struct schema client_credentials_schema = {
    .name = "Credentials",
    .size = sizeof(struct client_credentials),
    .fields = credentials_fields};

enum status_kind
client_load_credentials(const char *path, struct client_credentials *out,
                        struct status *st)
{
    size_t length = 0;
    char *text = schema_load(path, &length, st);

    if (text == NULL) {
        return st->kind;
    }
    (void)schema_read(&client_credentials_schema, path, text, length, out, st);
    g_free(text);
    return st->kind;
}

static size_t
on_body(char *bytes, size_t size, size_t count, void *data)
{
    g_string_append_len(data, bytes, (gssize)(size * count));
    return size * count;
}

void
client_request(const char *method, const char *url,
               const struct client_credentials *credentials,
               const char *submission, const char *body, size_t length,
               struct client_reply *out)
{
    CURL *curl = library_curl.init();
    struct curl_slist *headers = NULL;
    GString *body_text = g_string_new("");
    char line[256];

    out->status = 0;
    headers = library_curl.list_append(headers, "Expect:");
    headers =
        library_curl.list_append(headers, "Content-Type: application/json");
    if (credentials != NULL) {
        (void)snprintf(line, sizeof(line), "Authorization: Bearer %s",
                       credentials->token);
        headers = library_curl.list_append(headers, line);
    }
    if (submission != NULL) {
        (void)snprintf(line, sizeof(line), "Idempotency-Key: %s", submission);
        headers = library_curl.list_append(headers, line);
    }
    (void)library_curl.setopt(curl, CURLOPT_URL, url);
    (void)library_curl.setopt(curl, CURLOPT_CUSTOMREQUEST, method);
    (void)library_curl.setopt(curl, CURLOPT_HTTPHEADER, headers);
    if (body != NULL) {
        (void)library_curl.setopt(curl, CURLOPT_POSTFIELDS, body);
        (void)library_curl.setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                                  (curl_off_t)length);
    }
    (void)library_curl.setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
    (void)library_curl.setopt(curl, CURLOPT_WRITEDATA, body_text);
    (void)library_curl.setopt(curl, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
    (void)library_curl.setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
                              CONNECT_TIMEOUT_MS);
    (void)library_curl.setopt(curl, CURLOPT_NOSIGNAL, 1L);
    if (library_curl.perform(curl) == CURLE_OK) {
        (void)library_curl.getinfo(curl, CURLINFO_RESPONSE_CODE, &out->status);
    }
    library_curl.list_free(headers);
    library_curl.cleanup(curl);
    out->length = body_text->len;
    out->body = g_string_free(body_text, FALSE);
}

/* Maps an HTTP status to a status kind. */
static enum status_kind
map_status(const struct client_reply *reply, struct status *st)
{
    json_object *doc = client_json(reply);
    const char *detail = doc ? client_text(doc, "detail") : "";

    if (reply->status == 200) {
        const char *message = doc ? client_text(doc, "message") : "";

        (void)status_set(st, STATUS_OK, "%s", message);
    }
    else if (reply->status == 409) {
        (void)status_set(st, STATUS_CONFLICT, "%s", detail);
    }
    else if (reply->status == 504) {
        (void)status_set(st, STATUS_UNCONFIRMED, "%s", detail);
    }
    else if (reply->status == 400) {
        (void)status_set(st, STATUS_BAD_INPUT, "%s", detail);
    }
    else {
        (void)status_set(st, STATUS_REFUSED, "%s", detail);
    }
    json_object_put(doc);
    return st->kind;
}

/* True if another control VM may answer instead. */
static bool
should_try_next(const struct client_reply *reply)
{
    return reply->status == 0 || reply->status == 503;
}

/* A follower reports its status as unconfirmed: such a response is returned
 * only if no confirmed one arrives. */
enum status_kind
client_request_control(const struct settings *settings,
                       const struct client_credentials *credentials,
                       const char *method, const char *path,
                       const char *submission, const char *body, size_t length,
                       struct client_reply *out, struct status *st)
{
    struct client_reply last = {0, NULL, 0};

    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
        for (size_t i = 0; i < settings->control_count; i++) {
            const struct settings_control *c = &settings->controls[i];
            char endpoint[ADDRESS_TEXT];
            char *url = g_strconcat(
                "http://",
                address_format(c->address, (uint16_t)c->http_port, endpoint),
                path, NULL);
            bool unconfirmed;

            client_request(method, url, credentials, submission, body, length,
                           out);
            g_free(url);
            unconfirmed = strstr(out->body, "\"confirmed\": false") != NULL;
            if (!should_try_next(out) && !unconfirmed) {
                client_free(&last);
                return map_status(out, st);
            }
            if (unconfirmed) {
                client_free(&last);
                last = *out;
                continue;
            }
            client_free(out);
        }
        if (last.body != NULL && attempt >= ATTEMPTS / 2) {
            break;
        }
        g_usleep(RETRY_PAUSE_US);
    }
    *out = last;
    if (last.body != NULL) {
        return status_set(st, STATUS_UNCONFIRMED,
                          "no quorum confirmed the response; check that a "
                          "majority of control VMs is running");
    }
    out->body = g_strdup("");
    return status_set(st, STATUS_NO_ANSWER,
                      "no control VM answered as leader; check that a "
                      "majority of them is running, then try again");
}

json_object *
client_json(const struct client_reply *reply)
{
    return json_tokener_parse(reply->body);
}

const char *
client_text(json_object *doc, const char *key)
{
    json_object *value = NULL;

    if (doc == NULL || !json_object_object_get_ex(doc, key, &value) ||
        !json_object_is_type(value, json_type_string)) {
        return "";
    }
    return json_object_get_string(value);
}

int64_t
client_number(json_object *doc, const char *key)
{
    json_object *value = NULL;

    if (doc == NULL || !json_object_object_get_ex(doc, key, &value)) {
        return 0;
    }
    return json_object_get_int64(value);
}

void
client_free(struct client_reply *reply)
{
    g_free(reply->body);
    reply->body = NULL;
}
