/**
 * The local listener: the node's own server announces itself here, renews its lease, and reports
 * that it drains or stops. A server whose lease has expired gets no new requests until it renews it.
 */
import {Buffer} from 'node:buffer';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import * as z from 'zod';
import {decodePathSegment, hasSmallBody, readSmallBody} from '../http/index.js';
import type {LocalServer} from './gate.js';

export const serverHealths = {
	serving: 'serving',
	draining: 'draining',
} as const;

export type ServerHealth = (typeof serverHealths)[keyof typeof serverHealths];

/** The announced server and its lease. */
export type ServerAnnouncement = {
	readonly server: LocalServer;
	readonly health: ServerHealth;
	/** Requests in flight as reported by the server. */
	readonly reportedInFlight: number;
	/** Milliseconds of the monotonic clock. */
	readonly leaseExpiresAt: number;
};

/** Lease of an announcement, in milliseconds. */
export const announcementLeaseMilliseconds = 3000;

const announcementSchema = z.strictObject({
	name: z.string().min(1).max(128),
	service: z
		.string()
		.max(128)
		.regex(/^[\w.:@\-]+$/v),
	host: z.union([z.ipv4(), z.ipv6()]),
	port: z.int().min(1).max(65_535),
	slots: z.int().min(1).max(100_000),
	health: z.enum([serverHealths.serving, serverHealths.draining]),
	load: z.strictObject({inFlight: z.int().min(0)}).optional(),
});

type AnnouncementOptions = {
	/** Current time, milliseconds of the monotonic clock. */
	readonly now: () => number;
	readonly onChange: (announced: ServerAnnouncement | undefined) => void;
};

/** The local listener and the current announcement. */
export type AnnouncementListener = {
	readonly server: Server;
	/** Removes the server when its lease has expired; must be called periodically. */
	readonly expire: () => void;
	/** Removes a server that is known to be gone; its next announcement adds it again. */
	readonly removeServer: (server: LocalServer) => void;
	readonly current: () => ServerAnnouncement | undefined;
};

/**
 * Creates the local listener.
 *
 * @param options clock, and what to call when the announced server changes
 * @returns the listener, not yet bound
 */
export function createAnnouncementListener(
	options: AnnouncementOptions,
): AnnouncementListener {
	let current: ServerAnnouncement | undefined;

	function setCurrent(announcement: ServerAnnouncement | undefined): void {
		current = announcement;
		options.onChange(announcement);
	}

	function announce(body: Uint8Array, response: ServerResponse): void {
		const parsed = parseAnnouncement(body, options.now());
		if (typeof parsed === 'string') {
			reply(response, 400, {kind: 'malformed', message: parsed});
			return;
		}

		setCurrent(parsed);
		reply(response, 200, {leaseMilliseconds: announcementLeaseMilliseconds});
	}

	function removeByName(name: string | undefined, response: ServerResponse): void {
		if (name === undefined || current?.server.name !== name) {
			reply(response, 404, {
				kind: 'unknown-server',
				message: `announce ${name ?? 'a server with this name'} first`,
			});
			return;
		}

		setCurrent(undefined);
		reply(response, 200, {});
	}

	function receive(request: IncomingMessage, response: ServerResponse): void {
		const [, resource, name] = request.url!.split('/');
		if (
			resource === 'announcements' &&
			request.method === 'POST' &&
			hasSmallBody(request)
		) {
			readSmallBody(request, body => {
				announce(body, response);
			});
			return;
		}

		if (resource === 'announcements' && request.method === 'DELETE' && name) {
			removeByName(decodePathSegment(name), response);
			return;
		}

		reply(response, 404, {
			kind: 'unknown-path',
			message: 'use POST /announcements or DELETE /announcements/NAME',
		});
	}

	return {
		server: createServer(receive),
		expire() {
			if (current && options.now() > current.leaseExpiresAt) {
				setCurrent(undefined);
			}
		},
		removeServer(server) {
			if (current?.server.port === server.port && current.server.name === server.name) {
				setCurrent(undefined);
			}
		},
		current: () => current,
	};
}

function parseAnnouncement(body: Uint8Array, now: number): ServerAnnouncement | string {
	let json: unknown;
	try {
		json = JSON.parse(Buffer.from(body).toString('utf8'));
	} catch {
		return 'the announcement is not JSON: send one JSON object';
	}

	const parsed = announcementSchema.safeParse(json);
	if (!parsed.success) {
		return `correct the announcement: ${z.prettifyError(parsed.error)}`;
	}

	const {name, service, host, port, slots, health, load} = parsed.data;
	return {
		server: {name, service, host, port, slots},
		health,
		reportedInFlight: load?.inFlight ?? 0,
		leaseExpiresAt: now + announcementLeaseMilliseconds,
	};
}

function reply(response: ServerResponse, status: number, value: unknown): void {
	const body = Buffer.from(JSON.stringify(value));
	response.writeHead(status, {
		'content-type': 'application/json',
		'content-length': body.length,
	});
	response.end(body);
}
