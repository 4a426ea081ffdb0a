/**
 * Sends calls as an outside caller would, over plain HTTP/1.1.
 */
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

/** What the caller saw. */
export type CallAnswer = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
	/** The outcome header; `cut` when the connection ended without a whole answer. */
	readonly outcome: string;
	/** Whether the node took no connection, so that another can be asked at once. */
	readonly isConnectionRefused: boolean;
};

/**
 * Sends a call and waits for its end.
 *
 * @param options the call
 * @returns what the caller saw; never rejects
 */
export async function sendCall(options: CallOptions): Promise<CallAnswer> {
	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		const cut = (error: Error & {code?: string}): void => {
			const unconnected = error.code === 'ECONNREFUSED';
			const body = Buffer.concat(chunks);
			resolve({
				status: 0,
				headers: {},
				body,
				outcome: 'cut',
				isConnectionRefused: unconnected,
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
		request.on('error', cut);
		request.on('response', response => {
			response.on('data', (chunk: Uint8Array) => chunks.push(chunk));
			response.on('error', cut);
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
