/** Types of a gate: its options, its operations and the state that it reports. */
import type {
	AnnouncementVerdict,
	ServerAnnouncement,
	ServerProcess,
	ServerRecord,
} from '../announcement/index.js';
import type {AttemptId, RunningAttempt} from '../call/index.js';
import type {Logger} from '../log/index.js';
import type {GateReport} from '../placing/index.js';
import type {InboundLink} from '../waiting/index.js';
import type {RetryPolicy} from '../repeats/index.js';
import type {RelayAttempt, RelayCall} from './call.js';
import type {CallClaim} from './gate-entry.js';
import type {QuarantineOfGate} from './gate-quarantine.js';
import type {PlatformProtocol} from './platform-protocol.js';

/** A request for which a gate is asked to estimate wait and duration. */
export type LoadQuestion = {
	readonly route: string;
	readonly rank: number;
	readonly nested: boolean;
	readonly targetMilliseconds: number;
	/** Length of the body to be sent; zero if this node already has it. */
	readonly bodyBytes: number;
};

export type RelayGateOptions = {
	readonly protocol: PlatformProtocol;
	readonly log: Logger;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	/** A number from 0 to below 1. */
	readonly random: () => number;
	/** Address and service of the local server. */
	readonly server: {
		readonly host: string;
		readonly port: number;
		readonly service: string;
	};
	/** Requests a second that a cold server bears; infinite for no limit. */
	readonly coldRequestsPerSecond: () => number;
	/** Whether the failure domain of the gate is evacuated. */
	readonly isEvacuated: () => boolean;
	/** Whether a request may run at the server, by its homes. */
	readonly mayRunHere: (call: RelayCall) => boolean;
	readonly maximumConnections: number;
	/** The link over which bodies reach this VM. */
	readonly inboundLink: InboundLink;
	/** Health path of the service; undefined while no routes are known. */
	readonly healthPath: () => string | undefined;
	/** Limit on requests to the health path in any second. */
	readonly probesPerSecond: number;
	/** What is known of requests that crash servers. */
	readonly quarantine: QuarantineOfGate;
	readonly retryPolicy: RetryPolicy;
	/** Gates of the service, this one included. */
	readonly countGates: () => number;
	/** Whether a server process has announced before that it leaves. */
	readonly hasAnnouncedLeaving: (server: ServerProcess) => boolean;
	/** Called when a server process leaves. */
	readonly onServerLeaving: (server: ServerProcess) => void;
	/** Called when the gate's slots change; zero when it accepts no new requests. */
	readonly onSlotsChanged: (slots: number) => void;
	/** Called with how each attempt at this gate ended. */
	readonly onAttemptEnd: (end: string, milliseconds: number) => void;
};

/** A running request that made another one. */
export type ParentRequest = {
	/** Whether it is a retry, or was made by one. */
	readonly isRepeated: boolean;
};

export type RelayGateState = {
	readonly server: ServerRecord | undefined;
	readonly accepting: boolean;
	readonly running: number;
	readonly waiting: number;
	readonly limit: number;
	/** Requests a second that the server takes; infinite if it names no limit. */
	readonly requestsPerSecond: number;
	readonly failureShare: number;
};

export type RelayGate = {
	readonly run: (attempt: RelayAttempt) => RunningAttempt;
	/** Estimates wait and duration of a request, once the server's speed is known. */
	readonly report: (question: LoadQuestion) => Promise<GateReport>;
	/**
	 * Cancels an attempt, unless it waits and is to be kept; true only if it never was and never will
	 * be dispatched.
	 */
	readonly cancelAttempt: (id: AttemptId, keepWaiting: boolean) => boolean;
	/** Looks for the server through its health path, unless it is known already. */
	readonly discoverServer: () => void;
	/** Applies what the routes say of the server's service. */
	readonly applyRoutes: () => void;
	/** Stops or resumes accepting requests after an evacuation has begun or ended. */
	readonly applyEvacuation: () => void;
	readonly handleAnnouncement: (announcement: ServerAnnouncement) => AnnouncementVerdict;
	/** Handles the deregistration of a server process; false if it is another server. */
	readonly deregisterServer: (server: ServerProcess) => boolean;
	/** Applies what was learned of servers that leave. */
	readonly applyLeaving: () => void;
	/** Finds the request running here that made a call, as far as the call states; undefined if none did. */
	readonly findParent: (claim: CallClaim) => ParentRequest | undefined;
	/** Refuses new requests from now on. */
	readonly drain: () => void;
	readonly state: () => RelayGateState;
	readonly close: () => void;
};
