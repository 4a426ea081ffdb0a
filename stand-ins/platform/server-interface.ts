/** What a stand-in for a server on the platform can be made to do, and what it records. */
import type {IncomingMessage, Server} from 'node:http';
import type {Socket} from 'node:net';

export type StandInPlatformServerOptions = {
	readonly id: string;
	readonly service: string;
	readonly slots: number;
	readonly workMilliseconds: number;
	/** Interval of the heartbeats; 200 ms if absent. */
	readonly heartbeatMilliseconds?: number | undefined;
};

/** Writes a response to a connection, from the id of the request. */
export type WriteRaw = (socket: Socket, requestId: string) => void;

/**
 * Answers a request whose body has not been read yet, and reads on by itself if it is to be read; false if the request
 * is to be handled as usual.
 */
export type AnswerHead = (request: IncomingMessage, requestId: string) => boolean;

/** How a server handles requests. */
export const serverBehaviours = {
	normal: 'well',
	/** Processing takes five times as long. */
	slow: 'slow',
	/** Rejects the request with the header that says it was not executed. */
	shed: 'shed',
	/** Runs the request and responds with status 500. */
	fail: 'fail',
	/** Runs the request and closes the connection before the last byte of the response. */
	breakOff: 'break-off',
	/** Runs the request and responds with the id of another request. */
	confuse: 'confuse',
	/** Runs the request and sends a body without end. */
	endless: 'endless',
	/** Runs the request and never responds. */
	mute: 'mute',
} as const;

export type ServerBehaviour = (typeof serverBehaviours)[keyof typeof serverBehaviours];

/** What a server states about itself in its responses. */
export type StandInNotice = {
	/** Requests a second that it takes; no limit if undefined. */
	readonly requestsPerSecond?: number | undefined;
	readonly isLeaving?: boolean;
};

/** Tells whether the server crashes when it runs a request. */
export type IsCrashing = (path: string, body: string) => boolean;

/** A request that the server started to run. */
export type ReceivedRequest = {
	readonly requestId: string;
	readonly path: string;
	readonly at: number;
	readonly originService: string;
	readonly deadlineMilliseconds: number;
	readonly target: string;
};

export type StandInPlatformServer = {
	/** The HTTP server; the caller makes it listen. */
	readonly server: Server;
	readonly receivedRequests: ReceivedRequest[];
	/**
	 * Writes these bytes in place of each response to a request that is run; undefined for normal responses. The
	 * connection stays as it is.
	 */
	readonly answerRaw: (write: WriteRaw | undefined) => void;
	/** Runs each request from its head on, before its body is read; undefined for normal handling. */
	readonly answerHead: (answer: AnswerHead | undefined) => void;
	/** Writes these bytes in place of each health response; undefined for normal ones. */
	readonly answerHealthRaw: (write: WriteRaw | undefined) => void;
	/** Sends a heartbeat to the node's announcement listener, now and at each interval. */
	readonly startHeartbeats: (host: string, port: number, address: string) => void;
	/** Reports that it drains; resolves with the status of the response. */
	readonly drain: () => Promise<number>;
	/** Sends once more the heartbeat that came first, as a delayed one would arrive. */
	readonly repeatFirstHeartbeat: () => Promise<number>;
	/** Deregisters at the node; resolves with the status of the response. */
	readonly deregister: () => Promise<number>;
	readonly setBehaviour: (behaviour: ServerBehaviour) => void;
	/**
	 * States a limit on the request rate, or that the server leaves, in each response. What is not
	 * given stays as it was.
	 */
	readonly changeNotice: (notice: StandInNotice) => void;
	/** Sends no heartbeats from now on. */
	readonly pauseHeartbeats: () => void;
	/** Leaves the health path unanswered. */
	readonly setHealthHidden: (isHidden: boolean) => void;
	/** States for a time, in its health responses and heartbeats, that it is cold. */
	readonly setCold: (milliseconds: number) => void;
	/** Resets the connection, after processing, of requests whose path contains this. */
	readonly resetConnectionsOnPath: (path: string) => void;
	/** Crashes while it runs such a request, and is back after a time under another id. */
	readonly crashOn: (isCrashing: IsCrashing, backAfterMilliseconds: number) => void;
	/** Crashes now, as on such a request. */
	readonly crash: (backAfterMilliseconds: number) => void;
	/** Monotonic times at which it crashed, in milliseconds. */
	readonly crashes: readonly number[];
	/** Stops immediately; resolves when its port is free. */
	readonly close: () => Promise<void>;
};
