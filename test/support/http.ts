/** Sends calls over HTTP/1.1, as an external caller does. */
import {Buffer} from 'node:buffer';
import {type Agent, request as sendRequest, type IncomingHttpHeaders} from 'node:http';

/** A call to send. */
export type CallOptions = {
	readonly port: number;
	readonly service: string;
	readonly method?: string;
	readonly path?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: Uint8Array | string;
	readonly agent?: Agent;
};

/** The response, or the failure, as the caller sees it. */
export type CallAnswer = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
	/** The outcome header; `cut` when the connection ended without a complete response. */
	readonly outcome: string;
	/** Whether the node refused the connection, so that the call can go to another at once. */
	readonly isConnectionRefused: boolean;
};

/**
 * Sends a call and waits for its complete response.
 *
 * @param options the call
 * @returns the response, or the failure; never rejects
 */
export async function sendCall(options: CallOptions): Promise<CallAnswer> {
	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		const fail = (error: Error & {code?: string}): void => {
			const isConnectionRefused = error.code === 'ECONNREFUSED';
			const body = Buffer.concat(chunks);
			resolve({
				status: 0,
				headers: {},
				body,
				outcome: 'cut',
				isConnectionRefused,
			});
		};

		const request = sendRequest({
			host: '127.0.0.1',
			port: options.port,
			method: options.method ?? 'GET',
			path: options.path ?? '/',
			agent: options.agent,
			headers: {'foxtailtide-service': options.service, ...options.headers},
		});
		request.on('error', fail);
		request.on('response', response => {
			response.on('data', (chunk: Uint8Array) => chunks.push(chunk));
			response.on('error', fail);
			response.on('end', () => {
				resolve({
					status: response.statusCode!,
					headers: response.headers,
					body: Buffer.concat(chunks),
					outcome: String(response.headers['foxtailtide-outcome'] ?? 'none'),
					isConnectionRefused: false,
				});
			});
		});
		request.end(options.body);
	});
}
