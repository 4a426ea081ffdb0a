/** What a gate needs, what it offers to the node around it, and what it shows of its state. */
import type {
	AnnouncementVerdict,
	ServerAnnouncement,
	ServerRecord,
} from '../announcement/index.js';
import type {AttemptId, RunningAttempt} from '../call/index.js';
import type {Logger} from '../log/index.js';
import type {GateReport} from '../placing/index.js';
import type {InboundLink} from '../waiting/index.js';
import type {RetryPolicy} from '../repeats/index.js';
import type {RelayAttempt} from './call.js';
import type {PlatformProtocol} from './platform-protocol.js';

/** What a request would be, for the question what it would meet here. */
export type LoadQuestion = {
	readonly route: string;
	readonly rank: number;
	readonly nested: boolean;
	readonly targetMilliseconds: number;
	/** Length of the body that would be sent; zero for one that is here already. */
	readonly bodyBytes: number;
};

export type RelayGateOptions = {
	readonly protocol: PlatformProtocol;
	readonly log: Logger;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	/** A number from 0 to below 1. */
	readonly random: () => number;
	/** Address and service of the server beside the node. */
	readonly server: {
		readonly host: string;
		readonly port: number;
		readonly service: string;
	};
	readonly maximumConnections: number;
	/** The link over which bodies reach this VM. */
	readonly inboundLink: InboundLink;
	/** Health path of the service; undefined while no routes are known. */
	readonly healthPath: () => string | undefined;
	/** Questions that the health path may be asked in any second. */
	readonly probesPerSecond: number;
	readonly retryPolicy: RetryPolicy;
	/** Gates of the service, this one included. */
	readonly countGates: () => number;
	/** The slots that the gate offers have changed; zero when it takes nothing new. */
	readonly onSlotsChanged: (slots: number) => void;
	/** Counts how each attempt ended at this gate. */
	readonly onAttemptEnd: (end: string, milliseconds: number) => void;
};

export type RelayGateState = {
	readonly server: ServerRecord | undefined;
	readonly accepting: boolean;
	readonly running: number;
	readonly waiting: number;
	readonly limit: number;
	readonly failureShare: number;
};

export type RelayGate = {
	readonly run: (attempt: RelayAttempt) => RunningAttempt;
	/** Tells what a request would meet here now, once the server's speed is known. */
	readonly report: (question: LoadQuestion) => Promise<GateReport>;
	/** Cancels an attempt; true only if it never was and never will be handed over. */
	readonly cancelAttempt: (id: AttemptId) => boolean;
	/** Looks for the server by its health path, if it has not announced itself yet. */
	readonly discoverServer: () => void;
	readonly handleAnnouncement: (announcement: ServerAnnouncement) => AnnouncementVerdict;
	/** The server with this id says that it ends. */
	readonly deregisterServer: (id: string) => boolean;
	/** Whether the request with this id was made by one that runs here. */
	readonly isParentRunning: (requestId: string) => boolean;
	/** Refuses new work from now on. */
	readonly drain: () => void;
	readonly state: () => RelayGateState;
	readonly close: () => void;
};
