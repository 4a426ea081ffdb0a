/** The interface between the relay and the platform that it runs on. */
import type {Server} from 'node:http';
import type {Result} from 'neverthrow';
import type {
	AnnouncementVerdict,
	ServerAnnouncement,
	ServerProcess,
} from '../announcement/index.js';
import type {Logger} from '../log/index.js';
import type {RouteTable} from '../routes/index.js';
import type {TableClient} from '../table/index.js';
import type {PlatformProtocol} from './platform-protocol.js';
import type {ProofSource} from './proof-keeper.js';
import type {RouteSource} from './routes-follower.js';
import type {RoutesError} from './active-routes.js';

/** Handles the announcements of the local server. */
export type AnnouncementHandler = {
	readonly handleAnnouncement: (announcement: ServerAnnouncement) => AnnouncementVerdict;
	/** Handles the deregistration of a server process; false if it is another server. */
	readonly deregisterServer: (server: ServerProcess) => boolean;
	/** Resolves once the acknowledgement of a leaving server outlasts a restart of this node. */
	readonly leavingPassedOn: () => Promise<void>;
};

export type PlatformAdapter = {
	readonly protocol: PlatformProtocol;
	readonly decodeRoutes: (text: string) => Result<RouteTable, RoutesError>;
	readonly routeSource: RouteSource;
	/** Where to ask whether the routes changed. */
	readonly proofSource: ProofSource;
	/** Durable rows. */
	readonly table: Pick<TableClient, 'list' | 'read' | 'write' | 'close'>;
	/** Creates the listener for the server's announcements, not yet bound. */
	readonly createAnnouncementListener: (
		handler: AnnouncementHandler,
		log: Logger,
	) => Server;
};
