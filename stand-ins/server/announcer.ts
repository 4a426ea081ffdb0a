/**
 * Announces a stand-in server to the node beside it, renews the announcement every second and
 * withdraws it when the server leaves.
 */
import {Buffer} from 'node:buffer';
import {Agent, request} from 'node:http';

const renewalIntervalMilliseconds = 1000;
const requestTimeoutMilliseconds = 1000;

/** What a server tells its node about itself. */
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
	/** Sends the announcement now, out of its turn. */
	readonly announce: () => Promise<void>;
	/** Withdraws the announcement and stops renewing it. */
	readonly withdraw: () => Promise<void>;
};

/**
 * @param local address of the node's local listener, as `host:port`
 * @param describe gives the announcement to send; `undefined` sends none this time
 * @returns the announcer, which has sent its first announcement
 */
export function createAnnouncer(
	local: string,
	describe: () => Announcement | undefined,
): Announcer {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	let lastName: string | undefined;

	async function announce(): Promise<void> {
		const announcement = describe();
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

/** Sends one request. A node that is away hears of the server again at the next renewal. */
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
