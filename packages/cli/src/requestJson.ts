/** Requests of the commands to running instances, which answer in JSON. */
import { request } from "undici";

type RequestOptions = NonNullable<Parameters<typeof request>[1]>;

/**
 * Sends a request and returns the answer. Throws the instance's own description of the error if the status is not 200.
 *
 * @example
 * const status = await requestJson("http://127.0.0.1:9464/where?host=carts.example", { headersTimeout: 5_000 });
 */
export const requestJson = async (url: string, options: RequestOptions): Promise<unknown> => {
    const { statusCode, body } = await request(url, options);
    const answer = await body.json();
    if (statusCode !== 200) {
        throw new Error((answer as { error?: string; }).error ?? `status ${statusCode}`);
    }
    return answer;
};
