const process = require('node:process');

const load = () => process.getBuiltinModule('node:http');

// Loads node:http on first use, because it cannot be loaded while a startup snapshot is built.
module.exports = {
	get createServer() {
		return load().createServer;
	},
	// Maximum size of a response head in undici, in bytes; the default of Node.js.
	maxHeaderSize: 16_384,
	// Undici uses this class only in instanceof checks of bodies.
	IncomingMessage: {
		[Symbol.hasInstance]: value => value instanceof load().IncomingMessage,
	},
};
