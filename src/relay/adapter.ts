/** What the relay needs of the platform that it runs on; an adapter provides it. */
import type {Server} from 'node:http';
import type {Result} from 'neverthrow';
import type {AnnouncementVerdict, ServerAnnouncement} from '../announcement/index.js';
import type {Logger} from '../log/index.js';
import type {RouteTable} from '../routes/index.js';
import type {TableClient} from '../table/index.js';
import type {PlatformProtocol} from './platform-protocol.js';
import type {RouteSource} from './routes-follower.js';
import type {RoutesError} from './active-routes.js';

/** Takes what the server beside the node says of itself. */
export type AnnouncementHandler = {
	readonly handleAnnouncement: (announcement: ServerAnnouncement) => AnnouncementVerdict;
	/** The server with this id says that it ends; false when it is another server. */
	readonly deregisterServer: (id: string) => boolean;
};

export type PlatformAdapter = {
	readonly protocol: PlatformProtocol;
	readonly decodeRoutes: (text: string) => Result<RouteTable, RoutesError>;
	readonly routeSource: RouteSource;
	/** Rows that must last. */
	readonly table: Pick<TableClient, 'list' | 'read' | 'write' | 'close'>;
	/** Creates the listener for the server's announcements, not yet bound. */
	readonly createAnnouncementListener: (sink: AnnouncementHandler, log: Logger) => Server;
};
