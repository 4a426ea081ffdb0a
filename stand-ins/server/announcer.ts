/**
 * Announces a stand-in server to its local node, renews the announcement every second and
 * withdraws it when the server stops.
 */
import {Buffer} from 'node:buffer';
import {Agent, request} from 'node:http';

const renewalIntervalMilliseconds = 1000;
const requestTimeoutMilliseconds = 1000;

/** Body of an announcement to the node. */
export type Announcement = {
	readonly name: string;
	readonly service: string;
	readonly host: string;
	readonly port: number;
	readonly slots: number;
	readonly health: 'serving' | 'draining';
	readonly load: {readonly inFlight: number};
};

export type Announcer = {
	/** Sends the announcement immediately, in addition to the periodic renewals. */
	readonly announce: () => Promise<void>;
	/** Withdraws the announcement and stops renewing it. */
	readonly withdraw: () => Promise<void>;
};

/**
 * @param local address of the node's local listener, as `host:port`
 * @param createAnnouncement returns the announcement to send; `undefined` skips this renewal
 * @returns the announcer; its first announcement is already being sent
 */
export function createAnnouncer(
	local: string,
	createAnnouncement: () => Announcement | undefined,
): Announcer {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	let lastName: string | undefined;

	async function announce(): Promise<void> {
		const announcement = createAnnouncement();
		if (announcement === undefined) {
			return;
		}

		lastName = announcement.name;
		await send(agent, local, {
			method: 'POST',
			path: '/announcements',
			body: JSON.stringify(announcement),
		});
	}

	const timer = setInterval(() => {
		void announce();
	}, renewalIntervalMilliseconds);
	void announce();

	return {
		announce,
		async withdraw() {
			clearInterval(timer);
			if (lastName !== undefined) {
				await send(agent, local, {
					method: 'DELETE',
					path: `/announcements/${encodeURIComponent(lastName)}`,
					body: '',
				});
			}

			agent.destroy();
		},
	};
}

type LocalRequest = {
	readonly method: string;
	readonly path: string;
	readonly body: string;
};

/** Sends one request. Errors are ignored, because the next renewal repeats the announcement. */
async function send(agent: Agent, local: string, message: LocalRequest): Promise<void> {
	const url = new URL(message.path, `http://${local}`);
	return new Promise(resolve => {
		const outgoing = request(url, {
			agent,
			method: message.method,
			timeout: requestTimeoutMilliseconds,
			headers: {
				'content-type': 'application/json',
				'content-length': Buffer.byteLength(message.body),
			},
		});
		outgoing.on('response', response => {
			response.resume();
			response.on('close', resolve);
		});
		outgoing.on('timeout', () => {
			outgoing.destroy();
		});
		outgoing.on('error', () => {
			resolve();
		});
		outgoing.end(message.body);
	});
}
