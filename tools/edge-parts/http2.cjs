// Endpoints of the platform use HTTP/1.1 only, so undici does not need node:http2.
module.exports = {constants: {}};
