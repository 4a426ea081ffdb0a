/** Public surface of announcements: what a node believes of the server beside it. */
export {
	announcementVerdicts,
	markServerGone,
	evaluateAnnouncement,
	serverStates,
	type AnnouncementVerdict,
	type ServerAnnouncement,
	type ExpectedServer,
	type ServerRecord,
	type ServerState,
} from './server-record.js';
